#include "decisions/SlotQueue.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// A run counts as late when this many times its usual time does not fit before its objective: runs
/// differ in length, and a full server must not give its slots to those that just miss it.
constexpr double LateMargin = 1.3;

} // namespace

SlotVerdict SlotQueue::offer(const SlotRequest &request, TimePoint now)
{
    if (request.nested) {
        m_lastNested = now;
    }
    if (m_slots == 0) {
        return SlotVerdict::Refuse;
    }
    sort(now);
    const Rank rank = rankOf(request, now);
    const bool first = std::ranges::none_of(m_queue, [&](const Waiting &it) {
        return !it.request.bodyElsewhere && rankOf(it.request, now) <= rank;
    });
    if (first && !request.bodyElsewhere && speedAllows(request, now)
        && m_inUse < slotsFor(request, now)) {
        ++m_inUse;
        return SlotVerdict::Start;
    }
    if (now + expectedWait(request, now) > request.startBy) {
        return SlotVerdict::Refuse;
    }
    if (isFullFor(request, now)) {
        Waiting &last = m_queue.back();
        if (rankOf(last.request, now) <= rank || last.fetching) {
            return SlotVerdict::Refuse;
        }
        // The next decision refuses it.
        last.request.startBy = now;
    }
    m_queue.push_back({request, false});
    return SlotVerdict::Wait;
}

void SlotQueue::bodyArrived(const AttemptId &attempt)
{
    const auto it
        = std::ranges::find(m_queue, attempt, [](const Waiting &it) { return it.request.attempt; });
    if (it != m_queue.end()) {
        it->request.bodyElsewhere = false;
    }
}

void SlotQueue::slotReleased()
{
    --m_inUse;
}

SlotQueue::Decisions SlotQueue::decide(TimePoint now, bool mayStart)
{
    m_decisions.clear();
    sort(now);
    if (mayStart) {
        startReady(now);
    }
    refuseOverdue(now);
    fetchBodies(now);
    return m_decisions;
}

SlotQueue::Decisions SlotQueue::refuseAll()
{
    m_decisions.clear();
    for (const Waiting &it : m_queue) {
        m_decisions.push_back({it.request.attempt, SlotAction::Refuse});
    }
    m_queue.clear();
    return m_decisions;
}

bool SlotQueue::withdraw(const AttemptId &attempt)
{
    return std::erase_if(m_queue, [&](const Waiting &it) { return it.request.attempt == attempt; })
        > 0;
}

std::optional<TimePoint> SlotQueue::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const Waiting &it : m_queue) {
        if (!it.fetching) {
            next = std::min(next.value_or(it.request.startBy), it.request.startBy);
        }
    }
    return next;
}

/// One start a turn, so that the caller can check the rate of a cold server again.
void SlotQueue::startReady(TimePoint now)
{
    const auto it = std::ranges::find_if(m_queue, [&](const Waiting &it) {
        return !it.request.bodyElsewhere && m_inUse < slotsFor(it.request, now)
            && speedAllows(it.request, now) && (it.fetching || now <= it.request.startBy);
    });
    if (it != m_queue.end()) {
        ++m_inUse;
        m_decisions.push_back({it->request.attempt, SlotAction::Start});
        m_queue.erase(it);
    }
}

/// A body that is on its way or here would have to travel again, so its run stays.
void SlotQueue::refuseOverdue(TimePoint now)
{
    std::erase_if(m_queue, [&](const Waiting &it) {
        const bool overdue = !it.fetching && now >= it.request.startBy;
        if (overdue) {
            m_decisions.push_back({it.request.attempt, SlotAction::Refuse});
        }
        return overdue;
    });
}

void SlotQueue::fetchBodies(TimePoint now)
{
    const unsigned ahead = std::max(1U, m_slots / SlotsPerFetch);
    std::size_t before = 0;
    for (Waiting &it : m_queue) {
        const unsigned most = slotsFor(it.request, now);
        const unsigned free = most > m_inUse ? most - m_inUse : 0;
        if (it.request.bodyElsewhere && !it.fetching && before < free + ahead) {
            it.fetching = true;
            m_decisions.push_back({it.request.attempt, SlotAction::FetchBody});
        }
        ++before;
    }
}

unsigned SlotQueue::reserved(TimePoint now) const
{
    const bool nestedComes = m_lastNested && now - *m_lastNested < ReserveLifetime;
    const unsigned forNested = nestedComes ? m_slots / SlotsPerReserved : 0;
    return std::max(forNested, m_slots - std::min(m_slots, m_callerLimit));
}

unsigned SlotQueue::slotsFor(const SlotRequest &request, TimePoint now) const
{
    return request.nested ? m_slots : m_slots - reserved(now);
}

/// Nested calls first, since a parent holds a slot meanwhile; then what can be in time.
SlotQueue::Rank SlotQueue::rankOf(const SlotRequest &request, TimePoint now) const
{
    return {!request.nested, isLate(request, now), request.priority, request.objective};
}

Duration SlotQueue::usualTime(const SlotRequest &request) const
{
    return request.nested ? m_speed.perNested : m_speed.perCall;
}

bool SlotQueue::isLate(const SlotRequest &request, TimePoint now) const
{
    return now + scaled(usualTime(request), LateMargin) > request.objective;
}

/// \return true unless the run had better wait for the end of a slow spell.
bool SlotQueue::speedAllows(const SlotRequest &request, TimePoint now) const
{
    if (!m_speed.spell) {
        return true;
    }
    // Its parent is lost without it, so a late one starts when it can end at all.
    const TimePoint last = isLate(request, now) ? request.deadline : request.objective;
    return request.nested && now + scaled(usualTime(request), m_speed.factor) <= last;
}

/// \return time until a spell is over, what goes before has left its slots, and one run that works
/// now.
Duration SlotQueue::expectedWait(const SlotRequest &request, TimePoint now) const
{
    const Rank rank = rankOf(request, now);
    Duration ahead = usualTime(request);
    for (const Waiting &it : m_queue) {
        if (rankOf(it.request, now) <= rank) {
            ahead += usualTime(it.request);
        }
    }
    const Duration each = ahead / std::max(1U, m_slots);
    return m_speed.spell && !request.nested ? SpellRest + each : scaled(each, m_speed.factor);
}

bool SlotQueue::isFullFor(const SlotRequest &request, TimePoint now) const
{
    if (m_queue.size() >= static_cast<std::size_t>(m_slots) * QueuePerSlot) {
        return true;
    }
    const auto callers = std::ranges::count_if(
        m_queue, [](const Waiting &it) { return !it.request.nested && !it.fetching; });
    const unsigned most = slotsFor(request, now);
    const unsigned free = most - std::min(most, m_inUse);
    return !request.nested && static_cast<unsigned>(callers) >= m_slots * CallersPerSlot + free;
}

void SlotQueue::sort(TimePoint now)
{
    std::ranges::stable_sort(m_queue, {},
                             [&](const Waiting &it) { return rankOf(it.request, now); });
}

} // namespace Coltsfootwell
