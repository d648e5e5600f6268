// Decides which runs the backend server beside this daemon works on. The slots in use are known
// exactly here, so reports that are stale elsewhere never overload the server.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <optional>
#include <span>
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
};

enum class SlotVerdict {
    Start,
    /// A later output starts or refuses the run.
    Wait,
    Refuse,
};

/// \brief A waiting run leaves the queue.
struct SlotDecision
{
    AttemptId attempt;
    /// True when the run now holds a slot.
    bool start = false;
};

/// \brief Slots and the queue for them. Outputs are valid until the next input.
///
/// Load patterns: bursts beyond the slots, where calls of running parents must not wait behind new
/// parents; and slow spells of the server, where what waits is better placed elsewhere.
class SlotQueue
{
public:
    /// Most runs that wait, as a multiple of the slots.
    static constexpr unsigned QueuePerSlot = 4;
    /// One of this many slots is kept for nested calls while there are any.
    static constexpr unsigned SlotsPerReserved = 4;
    /// Nested calls this recent keep their reserved slots.
    static constexpr std::chrono::seconds ReserveLifetime {3};

    using Decisions = std::span<const SlotDecision>;

    /// \param slots runs that the server works on at once; 0 closes the queue.
    void slotsChanged(unsigned slots) { m_slots = slots; }

    /// \param perRun time that one run holds a slot at present; zero when unknown.
    void runTimeChanged(Duration perRun) { m_perRun = perRun; }

    /// \brief Asks for a slot.
    SlotVerdict offer(const SlotRequest &request, TimePoint now);

    /// \brief A run has given its slot back.
    void released();

    /// \brief Starts waiting runs as far as slots allow and refuses those that waited too long.
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

private:
    unsigned slotsFor(const SlotRequest &request, TimePoint now) const;
    Duration expectedWait(const SlotRequest &request) const;

    unsigned m_slots = 0;
    unsigned m_inUse = 0;
    Duration m_perRun {};
    std::optional<TimePoint> m_lastNested;
    /// In the order in which runs start.
    std::vector<SlotRequest> m_queue;
    std::vector<SlotDecision> m_decisions;
};

} // namespace Coltsfootwell
