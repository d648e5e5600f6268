// Bounds the load that probes cause on the backend server.
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Decides when a probe may be sent. One probe is under way at a time.
class ProbeBudget
{
public:
    /// Share of the time of all slots that probes may take.
    static constexpr double MaxSlotShare = 0.01;
    /// Real answers this recent tell as much as a probe.
    static constexpr std::chrono::milliseconds AnswerLifetime {500};

    /// \brief What was sent and what was saved.
    struct Counts
    {
        std::uint64_t sent = 0;
        /// Not needed, since real answers were recent.
        std::uint64_t unneeded = 0;
        /// Wanted, but over the budget.
        std::uint64_t overBudget = 0;
        /// Time that the probes took.
        Duration slotTime {};
    };

    /// \param probesPerSecond upper bound of the rate.
    /// \param slots slots of the backend server.
    void limitsChanged(double probesPerSecond, unsigned slots);

    /// \brief A real answer has arrived.
    void answered(TimePoint now);

    /// \return true when a probe is to be sent now; probeEnded() must follow.
    bool wanted(TimePoint now);

    /// \brief The probe was answered or given up.
    void probeEnded(TimePoint now);

    const Counts &counts() const { return m_counts; }

private:
    double m_probesPerSecond = 0;
    unsigned m_slots = 0;
    bool m_underWay = false;
    TimePoint m_began {};
    TimePoint m_next {};
    TimePoint m_fresh {};
    Counts m_counts;
};

} // namespace Coltsfootwell
