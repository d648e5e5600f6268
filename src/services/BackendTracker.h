// Part of the service "backend": what the daemon believes of its backend server, and the load that
// it reports.
#pragma once

#include "decisions/AdaptiveConcurrencyLimit.h"
#include "decisions/BackendHealth.h"
#include "decisions/BackendRegistration.h"
#include "decisions/ColdRateLimiter.h"
#include "decisions/Configuration.h"
#include "decisions/Load.h"
#include "decisions/Locality.h"
#include "decisions/Outcome.h"
#include "services/CallMessages.h"

#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief Combines registration, health, cold start and configuration.
class BackendTracker
{
public:
    /// \param place this daemon.
    /// \param drainTime see BackendSettings.
    /// \param coldSlack see BackendSettings.
    BackendTracker(Locality place, std::chrono::milliseconds drainTime, double coldSlack = 0);

    BackendRegistration registration;
    BackendHealth health;
    AdaptiveConcurrencyLimit crowding;
    ColdRateLimiter pacer;

    /// \brief Takes over a configuration.
    /// \return true when the data centre of this daemon came back into service.
    bool configurationChanged(ConfigurationPtr configuration);

    /// \brief The process of the backend server is a new one.
    void replaced(TimePoint now);

    /// \brief A health check tells how long the server stays cold.
    void reportedCold(std::chrono::milliseconds cold, TimePoint now);

    /// \return why no call may start now; nothing when one may.
    std::optional<Reason> closed(TimePoint now) const;

    /// \return why a run must not start here now, whatever the free slots.
    std::optional<Reason> refusalOf(const RunAttempt &run, TimePoint now) const;

    /// \return state for other daemons.
    BackendState state(TimePoint now) const;

    /// \return rules of the server's service; null when the configuration does not know it.
    const ServiceRules *rules() const;

    /// \return name of the server's service; empty before its first heartbeat.
    std::string service() const;

    const Configuration *configuration() const { return m_configuration.get(); }

private:
    void applyRules();

    Locality m_place;
    std::chrono::milliseconds m_drainTime;
    double m_coldSlack;
    ConfigurationPtr m_configuration;
};

} // namespace Coltsfootwell
