// Admits calls to the one backend server beside this daemon. The slots in use are known exactly
// here, so stale load reports elsewhere never overload the server.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <optional>

namespace Coltsfootwell {

/// \brief Counts slots and adapts the limit while the server is cold.
class Admission
{
public:
    /// \brief Takes over the rules of the server's service.
    void rulesChanged(const ServiceRules &rules);

    /// \brief The backend server has announced itself and starts cold.
    /// \param slots calls that it bears at once when warm.
    void announced(unsigned slots, TimePoint now);

    /// \brief The backend server is leaving or gone.
    void withdrawn(BackendState state);

    /// \brief Asks for a slot.
    /// \return nothing when the slot is taken, else why not.
    std::optional<Reason> admit(TimePoint now);

    /// \brief Gives a slot back and learns from the answer.
    /// \param good false for lost answers and statuses of 500 or more.
    /// \param elapsed time from the first byte sent to the end of the answer.
    void finished(bool good, Duration elapsed, TimePoint now);

    /// \return the load as it goes into answers.
    LoadReport report() const;

private:
    ServiceRules m_rules;
    BackendState m_state = BackendState::Absent;
    unsigned m_slots = 0;
    unsigned m_limit = 0;
    unsigned m_inUse = 0;
    unsigned m_goodInRow = 0;
};

} // namespace Coltsfootwell
