// Decides which runs the backend server beside this daemon works on. The slots in use are known
// exactly here, so reports that are stale elsewhere never overload the server.
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

/// \brief A run that asks for a slot.
struct SlotRequest
{
    AttemptId attempt;
    /// Latest useful start; a run that waits beyond it is refused, so that it can go elsewhere.
    TimePoint startBy;
    /// Rank among the calls of the service; 0 goes first.
    unsigned priority = 0;
    /// True for a call of a run in progress elsewhere, which holds a slot there meanwhile.
    bool nested = false;
    /// True while the body is still at the entry daemon; the run cannot start without it.
    bool bodyElsewhere = false;
    /// Time by which an answer has its full value, and time after which it has none.
    TimePoint objective = TimePoint::max();
    TimePoint deadline = TimePoint::max();
};

/// \brief How fast the backend server works.
struct ServerSpeed
{
    /// Usual time of a caller's call and of a nested one; zero when unknown.
    Duration perCall {};
    Duration perNested {};
    /// Time that work takes at this moment, as a multiple of the usual time.
    double factor = 1;
    /// True in a spell of slow work that is likely to end soon.
    bool spell = false;
};

enum class SlotVerdict {
    Start,
    /// A later output starts or refuses the run.
    Wait,
    Refuse,
};

/// \brief What happens to a waiting run.
enum class SlotAction {
    /// It leaves the queue and holds a slot.
    Start,
    /// It leaves the queue.
    Refuse,
    /// It goes on waiting, and its body is to be fetched.
    FetchBody,
};

struct SlotDecision
{
    AttemptId attempt;
    SlotAction action = SlotAction::Refuse;
};

/// \brief Slots and the queue for them. Outputs are valid until the next input.
///
/// Load patterns: bursts beyond the slots, where calls of running parents must not wait behind new
/// parents; large bodies over narrow links, which must not hold a slot while they travel; and
/// spells of slow work. A run that starts in a spell works slowly to its end, also when the spell
/// is over long before, so that it is better to wait for the end of the spell or to go elsewhere.
class SlotQueue
{
public:
    /// Most runs that wait, as a multiple of the slots.
    static constexpr unsigned QueuePerSlot = 2;
    /// Most callers' calls among them that wait for more than their body. With more of them no more
    /// calls are answered, only later ones.
    static constexpr unsigned CallersPerSlot = 1;
    /// One of this many slots is kept for nested calls while there are any.
    static constexpr unsigned SlotsPerReserved = 4;
    /// Bodies are fetched ahead for one of this many slots, so that a slot that becomes free finds
    /// a run with its body.
    static constexpr unsigned SlotsPerFetch = 2;
    /// A spell of slow work goes on for at least about this long.
    static constexpr std::chrono::milliseconds SpellRest {100};
    /// Nested calls this recent keep their reserved slots.
    static constexpr std::chrono::seconds ReserveLifetime {3};

    using Decisions = std::span<const SlotDecision>;

    /// \param slots runs that the server works on at once; 0 closes the queue.
    void slotsChanged(unsigned slots) { m_slots = slots; }

    /// \param limit slots that callers' calls get; nested calls get all.
    void setCallerLimit(unsigned limit) { m_callerLimit = limit; }

    /// \param speed of the server from now on.
    void speedChanged(const ServerSpeed &speed) { m_speed = speed; }

    /// \brief Asks for a slot.
    SlotVerdict offer(const SlotRequest &request, TimePoint now);

    /// \brief A run has given its slot back.
    void slotReleased();

    /// \brief The body of a waiting run has arrived.
    void bodyArrived(const AttemptId &attempt);

    /// \brief Starts waiting runs as far as slots allow, refuses those that waited too long, and
    /// fetches the bodies of those that start soon.
    /// \param mayStart false while the server takes no further call, such as a cold one at its
    /// rate.
    Decisions decide(TimePoint now, bool mayStart);

    /// \brief Refuses all that waits.
    Decisions refuseAll();

    /// \brief Removes a waiting run.
    /// \return false when it did not wait.
    bool withdraw(const AttemptId &attempt);

    /// \return time at which decide() is to be called next; nothing while nothing waits.
    std::optional<TimePoint> nextDeadline() const;

    unsigned inUse() const { return m_inUse; }
    std::size_t waiting() const { return m_queue.size(); }
    unsigned slots() const { return m_slots; }

    /// \return slots that only nested calls get at present.
    unsigned reserved(TimePoint now) const;

private:
    struct Waiting
    {
        SlotRequest request;
        bool fetching = false;
    };

    /// Place in the queue; lower goes first.
    using Rank = std::tuple<bool, bool, unsigned, TimePoint>;

    Rank rankOf(const SlotRequest &request, TimePoint now) const;
    Duration usualTime(const SlotRequest &request) const;
    bool isLate(const SlotRequest &request, TimePoint now) const;
    bool speedAllows(const SlotRequest &request, TimePoint now) const;
    unsigned slotsFor(const SlotRequest &request, TimePoint now) const;
    Duration expectedWait(const SlotRequest &request, TimePoint now) const;
    bool isFullFor(const SlotRequest &request, TimePoint now) const;
    void sort(TimePoint now);
    void startReady(TimePoint now);
    void refuseOverdue(TimePoint now);
    void fetchBodies(TimePoint now);

    unsigned m_slots = 0;
    unsigned m_callerLimit = UINT_MAX;
    unsigned m_inUse = 0;
    ServerSpeed m_speed;
    std::optional<TimePoint> m_lastNested;
    /// In the order of ranks at the last input.
    std::vector<Waiting> m_queue;
    std::vector<SlotDecision> m_decisions;
};

} // namespace Coltsfootwell
