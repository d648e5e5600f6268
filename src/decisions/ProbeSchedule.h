// Decides when to probe the backend server. Probes put load on the server, so they are skipped
// while answers provide the same information.
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Conditions that determine the probe interval.
struct ProbeConditions
{
    bool down = false;
    /// True if the server gets no calls until a probe tells that it is in service.
    bool unconfirmed = false;
    bool busy = false;
    bool slow = false;
    bool cold = false;
    /// Time of the last update of the server's speed.
    TimePoint speedUpdatedAt {};
};

/// \brief Computes the time of the next probe. At most one probe is in flight at a time.
///
/// Probes detect a server that becomes slow during calls, before any answer shows it, and a server
/// that recovers while it receives no calls.
class ProbeSchedule
{
public:
    /// Age of the last speed update at which a busy server is probed.
    static constexpr std::chrono::milliseconds BusyProbeInterval {120};
    /// Age of the last speed update at which a slow server is probed to detect its recovery.
    static constexpr std::chrono::milliseconds SlowProbeInterval {90};
    /// Minimum interval between probes of a server that is down or unconfirmed.
    static constexpr std::chrono::milliseconds DownProbeInterval {100};
    /// Age of the last speed update at which a cold server is probed.
    static constexpr std::chrono::milliseconds ColdProbeInterval {400};
    /// Age of the last speed update at which an idle server is probed.
    static constexpr std::chrono::milliseconds IdleProbeInterval {1500};

    /// \param perSecond maximum number of probes per second; 0 disables probing.
    void limitChanged(double perSecond) { m_perSecond = perSecond; }

    /// \return time of the next probe.
    TimePoint nextProbe(const ProbeConditions &conditions) const;

    /// \brief Records that a probe was sent.
    void probeSent(TimePoint now);

private:
    double m_perSecond = 2;
    TimePoint m_lastSent {};
};

} // namespace Coltsfootwell
