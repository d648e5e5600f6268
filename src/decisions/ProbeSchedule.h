// Decides when the backend server is probed. Probes cost the server time, so they are left out
// while answers tell the same.
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief What the daemon knows at the moment.
struct ProbeConditions
{
    bool down = false;
    bool busy = false;
    bool slow = false;
    bool cold = false;
    /// Time of the last news about the server's speed.
    TimePoint speedUpdatedAt {};
};

/// \brief Chooses the time of the next probe. One probe is under way at a time.
///
/// Load pattern: a server turns slow while calls run on it, so that no answer tells of it; or it
/// becomes fast again while it gets no calls.
class ProbeSchedule
{
public:
    /// Age of news after which a busy server is asked.
    static constexpr std::chrono::milliseconds BusyAge {120};
    /// Age of news after which a slow server is asked whether it is fast again.
    static constexpr std::chrono::milliseconds SlowAge {90};
    static constexpr std::chrono::milliseconds DownAge {100};
    static constexpr std::chrono::milliseconds ColdAge {400};
    /// Age after which an idle server is asked whether it is well.
    static constexpr std::chrono::milliseconds IdleAge {1500};

    /// \param perSecond most probes in one second; 0 for none.
    void limitChanged(double perSecond) { m_perSecond = perSecond; }

    /// \return time of the next probe.
    TimePoint nextProbe(const ProbeConditions &need) const;

    /// \brief A probe was sent.
    void probeSent(TimePoint now);

private:
    double m_perSecond = 2;
    TimePoint m_lastSent {};
};

} // namespace Coltsfootwell
