// Admission control for the backend server beside this daemon. The number of slots in use is exact
// here, so outdated load reports on other daemons cannot overload the server.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <climits>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

namespace Coltsfootwell {

/// \brief Request of a run for a slot.
struct SlotRequest
{
    AttemptId attempt;
    /// Latest useful start; a run that waits longer is refused, so that it can be sent elsewhere.
    TimePoint startBy;
    /// Priority among the calls of the service; 0 is the highest.
    unsigned priority = 0;
    /// True for a nested call, whose parent run occupies a slot elsewhere until it is answered.
    bool nested = false;
    /// True while the body is still at the entry daemon; the run cannot start without it.
    bool bodyPending = false;
    /// Time by which an answer has its full value, and time after which it has no value.
    TimePoint objective = TimePoint::max();
    TimePoint deadline = TimePoint::max();
};

/// \brief Speed of the backend server.
struct ServerSpeed
{
    /// Average time of a call of a caller and of a nested call at normal speed; zero if unknown.
    Duration callTime {};
    Duration nestedCallTime {};
    /// Current duration of work, as a multiple of the typical duration.
    double slowdownFactor = 1;
    /// True during a slowdown that is likely to end soon.
    bool transientSlowdown = false;
};

/// \brief Result of offer().
enum class SlotVerdict {
    Start,
    /// A later decision starts or refuses the run.
    Wait,
    Refuse,
};

/// \brief Action on a queued run.
enum class SlotAction {
    /// The run leaves the queue and occupies a slot.
    Start,
    /// The run leaves the queue without a slot.
    Refuse,
    /// The run stays in the queue, and its body must be fetched.
    FetchBody,
};

struct SlotDecision
{
    AttemptId attempt;
    SlotAction action = SlotAction::Refuse;
};

/// \brief Slots of the backend server and a priority queue for them. Returned decisions are valid
/// until the next input.
///
/// Handles bursts that exceed the slots, in which nested calls must not wait behind new calls of
/// callers; large bodies on slow links, which must not occupy a slot during their transfer; and
/// transient slowdowns. A run that starts during a slowdown stays slow until it ends, even if the
/// slowdown is over long before, so it should rather wait or be sent to another server.
class SlotQueue
{
public:
    /// Maximum queue length, as a multiple of the slots.
    static constexpr unsigned MaxQueuedPerSlot = 2;
    /// Maximum number of queued calls of callers, as a multiple of the slots, in addition to one
    /// for each free slot; calls whose body has been requested are not counted. A longer queue
    /// would increase the latency but not the throughput.
    static constexpr unsigned MaxQueuedCallersPerSlot = 1;
    /// One in this many slots is reserved for nested calls while there are any.
    static constexpr unsigned SlotsPerReservedSlot = 4;
    /// Bodies are prefetched for one in this many slots, so that a run with its body is ready when
    /// a slot becomes free.
    static constexpr unsigned SlotsPerBodyFetch = 2;
    /// Minimum expected remaining time of a transient slowdown.
    static constexpr std::chrono::milliseconds MinSlowdownRemaining {100};
    /// Time for which slots stay reserved after the last nested call.
    static constexpr std::chrono::seconds ReservationLifetime {3};

    using Decisions = std::span<const SlotDecision>;

    /// \param slots maximum number of concurrent runs of the server; 0 closes the queue.
    void slotsChanged(unsigned slots) { m_slots = slots; }

    /// \param limit maximum number of slots for calls of callers; nested calls may use all slots.
    void setCallerLimit(unsigned limit) { m_callerLimit = limit; }

    /// \param speed current speed of the server.
    void speedChanged(const ServerSpeed &speed) { m_speed = speed; }

    /// \brief Requests a slot for a run.
    SlotVerdict offer(const SlotRequest &request, TimePoint now);

    /// \brief Frees the slot of a run.
    void slotReleased();

    /// \brief Marks the body of a queued run as received.
    void bodyArrived(const AttemptId &attempt);

    /// \brief Starts queued runs if slots are free, refuses runs that have waited too long, and
    /// fetches the bodies of runs that will start soon.
    /// \param mayStart false if the server accepts no further call now, such as a cold server at
    /// its rate limit.
    Decisions decide(TimePoint now, bool mayStart);

    /// \brief Refuses all queued runs.
    Decisions refuseAll();

    /// \brief Removes a queued run.
    /// \return false if the run is not in the queue.
    bool withdraw(const AttemptId &attempt);

    /// \return time of the next required call of decide(); empty if no queued run can expire.
    std::optional<TimePoint> nextDeadline() const;

    unsigned inUse() const { return m_inUse; }
    std::size_t waiting() const { return m_queue.size(); }
    unsigned slots() const { return m_slots; }

    /// \return number of slots currently reserved for nested calls.
    unsigned reserved(TimePoint now) const;

private:
    struct QueuedRun
    {
        SlotRequest request;
        bool bodyRequested = false;
    };

    /// Queue order; lower ranks start first.
    using Rank = std::tuple<bool, bool, unsigned, TimePoint>;

    Rank rankOf(const SlotRequest &request, TimePoint now) const;
    Duration typicalTime(const SlotRequest &request) const;
    bool isLate(const SlotRequest &request, TimePoint now) const;
    bool speedAllowsStart(const SlotRequest &request, TimePoint now) const;
    unsigned slotsFor(const SlotRequest &request, TimePoint now) const;
    Duration expectedWait(const SlotRequest &request, TimePoint now) const;
    bool isFullFor(const SlotRequest &request, TimePoint now) const;
    void sortByRank(TimePoint now);
    void startReady(TimePoint now);
    void refuseOverdue(TimePoint now);
    void fetchBodies(TimePoint now);

    unsigned m_slots = 0;
    unsigned m_callerLimit = UINT_MAX;
    unsigned m_inUse = 0;
    ServerSpeed m_speed;
    std::optional<TimePoint> m_lastNested;
    /// Sorted by the ranks at the time of the last input.
    std::vector<QueuedRun> m_queue;
    std::vector<SlotDecision> m_decisions;
};

} // namespace Coltsfootwell
