// The steps of a planned stop, which cuts no call: first no new runs, then no new calls, then the
// end.
#pragma once

#include <memory>

namespace Coltsfootwell {

/// \brief Phases in their order.
enum class StopPhase {
    Running,
    /// No new runs for the backend server; calls of callers are still taken and go elsewhere.
    RefusingRuns,
    /// No new calls either; calls in progress end.
    Finishing,
    Left,
};

/// \brief State machine of a planned stop.
class PlannedStop
{
public:
    PlannedStop();
    ~PlannedStop();

    /// \brief The operator wants the daemon to stop. Later requests change nothing.
    void stopRequested();

    /// \brief Callers and peers have had their time to learn of the stop.
    void gracePeriodEnded();

    /// \brief The last call in progress has ended.
    void allCallsEnded();

    /// \return the present phase.
    StopPhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Coltsfootwell
