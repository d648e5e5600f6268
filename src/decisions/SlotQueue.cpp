#include "decisions/SlotQueue.h"

#include <algorithm>
#include <tuple>

namespace Coltsfootwell {

namespace {

bool goesFirst(const SlotRequest &left, const SlotRequest &right)
{
    return std::tuple(!left.nested, left.priority, left.startBy)
        < std::tuple(!right.nested, right.priority, right.startBy);
}

} // namespace

SlotVerdict SlotQueue::offer(const SlotRequest &request, TimePoint now)
{
    if (request.nested) {
        m_lastNested = now;
    }
    if (m_slots == 0) {
        return SlotVerdict::Refuse;
    }
    const auto place = std::ranges::upper_bound(m_queue, request, goesFirst);
    if (place == m_queue.begin() && m_inUse < slotsFor(request, now)) {
        ++m_inUse;
        return SlotVerdict::Start;
    }
    if (m_queue.size() >= static_cast<std::size_t>(m_slots) * QueuePerSlot
        || now + expectedWait(request) > request.startBy) {
        return SlotVerdict::Refuse;
    }
    m_queue.insert(place, request);
    return SlotVerdict::Wait;
}

void SlotQueue::released()
{
    --m_inUse;
}

SlotQueue::Decisions SlotQueue::decide(TimePoint now, bool mayStart)
{
    m_decisions.clear();
    std::erase_if(m_queue, [&](const SlotRequest &request) {
        if (mayStart && m_inUse < slotsFor(request, now) && now <= request.startBy) {
            ++m_inUse;
            // One start a turn, so that the caller can check the rate of a cold server again.
            mayStart = false;
            m_decisions.push_back({request.attempt, true});
            return true;
        }
        if (now >= request.startBy) {
            m_decisions.push_back({request.attempt, false});
            return true;
        }
        return false;
    });
    return m_decisions;
}

SlotQueue::Decisions SlotQueue::refuseAll()
{
    m_decisions.clear();
    for (const SlotRequest &request : m_queue) {
        m_decisions.push_back({request.attempt, false});
    }
    m_queue.clear();
    return m_decisions;
}

bool SlotQueue::withdraw(const AttemptId &attempt)
{
    return std::erase_if(m_queue,
                         [&](const SlotRequest &request) { return request.attempt == attempt; })
        > 0;
}

std::optional<TimePoint> SlotQueue::nextDeadline() const
{
    const auto it = std::ranges::min_element(m_queue, {}, &SlotRequest::startBy);
    return it == m_queue.end() ? std::nullopt : std::optional(it->startBy);
}

unsigned SlotQueue::slotsFor(const SlotRequest &request, TimePoint now) const
{
    const bool nestedComes = m_lastNested && now - *m_lastNested < ReserveLifetime;
    if (request.nested || !nestedComes || m_slots < SlotsPerReserved) {
        return m_slots;
    }
    return m_slots - m_slots / SlotsPerReserved;
}

Duration SlotQueue::expectedWait(const SlotRequest &request) const
{
    const auto ahead = std::ranges::count_if(
        m_queue, [&](const SlotRequest &other) { return !goesFirst(request, other); });
    return m_perRun * (ahead + 1) / std::max(1U, m_slots);
}

} // namespace Coltsfootwell
