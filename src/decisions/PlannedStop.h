// The phases of a planned stop, which interrupts no call: the daemon rejects new runs first, then
// new calls, and stops when the last call has ended.
#pragma once

#include <memory>

namespace Coltsfootwell {

/// \brief Phases of a planned stop, in their order.
enum class StopPhase {
    Running,
    /// No new runs on the backend server; calls from callers are still accepted and run elsewhere.
    RefusingRuns,
    /// No new calls either; calls in flight are finished.
    Finishing,
    /// All calls have ended.
    Left,
};

/// \brief State machine of a planned stop.
class PlannedStop
{
public:
    PlannedStop();
    ~PlannedStop();

    /// \brief Starts the planned stop. Further requests are ignored.
    void stopRequested();

    /// \brief Ends the leave time, in which callers and peers are notified of the stop.
    void leaveTimeEnded();

    /// \brief Handles the end of the last call in flight.
    void allCallsEnded();

    StopPhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Coltsfootwell
