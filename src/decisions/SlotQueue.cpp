#include "decisions/SlotQueue.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Safety factor on the typical time when a run is checked against its objective. Run times vary,
/// and a full server must not spend its slots on runs that just miss their objective.
constexpr double LateFactor = 1.3;

} // namespace

SlotVerdict SlotQueue::offer(const SlotRequest &request, TimePoint now)
{
    if (request.nested) {
        m_lastNested = now;
    }
    if (m_slots == 0) {
        return SlotVerdict::Refuse;
    }
    sortByRank(now);
    const Rank rank = rankOf(request, now);
    const bool startsFirst = std::ranges::none_of(m_queue, [&](const QueuedRun &run) {
        return !run.request.bodyPending && rankOf(run.request, now) <= rank;
    });
    if (startsFirst && !request.bodyPending && speedAllowsStart(request, now)
        && m_inUse < slotsFor(request, now)) {
        ++m_inUse;
        return SlotVerdict::Start;
    }
    if (now + expectedWait(request, now) > request.startBy) {
        return SlotVerdict::Refuse;
    }
    if (isFullFor(request, now)) {
        QueuedRun &lowestRanked = m_queue.back();
        if (rankOf(lowestRanked.request, now) <= rank || lowestRanked.bodyRequested) {
            return SlotVerdict::Refuse;
        }
        // The next call of decide() refuses it.
        lowestRanked.request.startBy = now;
    }
    m_queue.push_back({request, false});
    return SlotVerdict::Wait;
}

void SlotQueue::bodyArrived(const AttemptId &attempt)
{
    const auto it = std::ranges::find(m_queue, attempt,
                                      [](const QueuedRun &run) { return run.request.attempt; });
    if (it != m_queue.end()) {
        it->request.bodyPending = false;
    }
}

void SlotQueue::slotReleased()
{
    --m_inUse;
}

SlotQueue::Decisions SlotQueue::decide(TimePoint now, bool mayStart)
{
    m_decisions.clear();
    sortByRank(now);
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
    for (const QueuedRun &run : m_queue) {
        m_decisions.push_back({run.request.attempt, SlotAction::Refuse});
    }
    m_queue.clear();
    return m_decisions;
}

bool SlotQueue::withdraw(const AttemptId &attempt)
{
    return std::erase_if(m_queue,
                         [&](const QueuedRun &run) { return run.request.attempt == attempt; })
        > 0;
}

std::optional<TimePoint> SlotQueue::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const QueuedRun &run : m_queue) {
        if (!run.bodyRequested) {
            next = std::min(next.value_or(run.request.startBy), run.request.startBy);
        }
    }
    return next;
}

/// Starts at most one run, so that the caller can check the rate limit of a cold server again.
void SlotQueue::startReady(TimePoint now)
{
    const auto it = std::ranges::find_if(m_queue, [&](const QueuedRun &run) {
        return !run.request.bodyPending && m_inUse < slotsFor(run.request, now)
            && speedAllowsStart(run.request, now)
            && (run.bodyRequested || now <= run.request.startBy);
    });
    if (it != m_queue.end()) {
        ++m_inUse;
        m_decisions.push_back({it->request.attempt, SlotAction::Start});
        m_queue.erase(it);
    }
}

/// Keeps runs whose body has been requested, because the body would have to be transferred again.
void SlotQueue::refuseOverdue(TimePoint now)
{
    std::erase_if(m_queue, [&](const QueuedRun &run) {
        const bool overdue = !run.bodyRequested && now >= run.request.startBy;
        if (overdue) {
            m_decisions.push_back({run.request.attempt, SlotAction::Refuse});
        }
        return overdue;
    });
}

void SlotQueue::fetchBodies(TimePoint now)
{
    const unsigned prefetched = std::max(1U, m_slots / SlotsPerBodyFetch);
    std::size_t position = 0;
    for (QueuedRun &run : m_queue) {
        const unsigned slotLimit = slotsFor(run.request, now);
        const unsigned free = slotLimit > m_inUse ? slotLimit - m_inUse : 0;
        if (run.request.bodyPending && !run.bodyRequested && position < free + prefetched) {
            run.bodyRequested = true;
            m_decisions.push_back({run.request.attempt, SlotAction::FetchBody});
        }
        ++position;
    }
}

unsigned SlotQueue::reserved(TimePoint now) const
{
    const bool nestedRecently = m_lastNested && now - *m_lastNested < ReservationLifetime;
    const unsigned forNested = nestedRecently ? m_slots / SlotsPerReservedSlot : 0;
    return std::max(forNested, m_slots - std::min(m_slots, m_callerLimit));
}

unsigned SlotQueue::slotsFor(const SlotRequest &request, TimePoint now) const
{
    return request.nested ? m_slots : m_slots - reserved(now);
}

/// Ranks nested calls first, since their parents occupy slots, then runs that can meet their
/// objective.
SlotQueue::Rank SlotQueue::rankOf(const SlotRequest &request, TimePoint now) const
{
    return {!request.nested, isLate(request, now), request.priority, request.objective};
}

Duration SlotQueue::typicalTime(const SlotRequest &request) const
{
    return request.nested ? m_speed.nestedCallTime : m_speed.callTime;
}

bool SlotQueue::isLate(const SlotRequest &request, TimePoint now) const
{
    return now + scaled(typicalTime(request), LateFactor) > request.objective;
}

/// \return false if the run should wait for the end of a transient slowdown.
bool SlotQueue::speedAllowsStart(const SlotRequest &request, TimePoint now) const
{
    if (!m_speed.transientSlowdown) {
        return true;
    }
    // The parent's work is lost without the answer, so a late call may use the time until its
    // deadline.
    const TimePoint latestEnd = isLate(request, now) ? request.deadline : request.objective;
    return request.nested
        && now + scaled(typicalTime(request), m_speed.slowdownFactor) <= latestEnd;
}

/// \return expected time until a slot is free: the rest of a slowdown, the runs ahead in the queue
/// and one run that currently holds a slot.
Duration SlotQueue::expectedWait(const SlotRequest &request, TimePoint now) const
{
    const Rank rank = rankOf(request, now);
    Duration work = typicalTime(request);
    for (const QueuedRun &run : m_queue) {
        if (rankOf(run.request, now) <= rank) {
            work += typicalTime(run.request);
        }
    }
    const Duration perSlot = work / std::max(1U, m_slots);
    return m_speed.transientSlowdown && !request.nested ? MinSlowdownRemaining + perSlot
                                                        : scaled(perSlot, m_speed.slowdownFactor);
}

bool SlotQueue::isFullFor(const SlotRequest &request, TimePoint now) const
{
    if (m_queue.size() >= static_cast<std::size_t>(m_slots) * MaxQueuedPerSlot) {
        return true;
    }
    const auto queuedCallers = std::ranges::count_if(
        m_queue, [](const QueuedRun &run) { return !run.request.nested && !run.bodyRequested; });
    const unsigned slotLimit = slotsFor(request, now);
    const unsigned free = slotLimit - std::min(slotLimit, m_inUse);
    return !request.nested
        && static_cast<unsigned>(queuedCallers) >= m_slots * MaxQueuedCallersPerSlot + free;
}

void SlotQueue::sortByRank(TimePoint now)
{
    std::ranges::stable_sort(m_queue, {},
                             [&](const QueuedRun &run) { return rankOf(run.request, now); });
}

} // namespace Coltsfootwell
