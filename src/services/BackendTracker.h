// Part of the service "backend": the state of the local backend server as observed by the daemon.
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

/// \brief Combines registration, health, cold start and configuration of the backend server.
class BackendTracker
{
public:
    /// \param locality identity, region and data centre of this daemon.
    /// \param coldSlack see BackendSettings::coldSlack.
    explicit BackendTracker(Locality locality, double coldSlack = 0);

    BackendRegistration registration;
    BackendHealth health;
    AdaptiveConcurrencyLimit concurrencyLimit;
    ColdRateLimiter coldRateLimiter;

    /// \brief Applies a new configuration.
    /// \return true if it returns the data centre of this daemon to service.
    bool configurationChanged(ConfigurationPtr configuration);

    /// \brief Applies a heartbeat to the registration. One that names a service which the
    /// configuration does not have comes from another writer, or from a server that nobody calls:
    /// it does not replace a server of a known service, and gives way to one. \param heartbeat a
    /// valid heartbeat. \param unixMs current Unix time in milliseconds.
    RegistrationChange heartbeatReceived(const BackendHeartbeat &heartbeat, TimePoint now,
                                         std::int64_t unixMs);

    /// \brief Resets the estimates after another process of the backend server has registered.
    void instanceReplaced(TimePoint now);

    /// \brief Updates how much longer the server stays cold.
    /// \param coldRemaining remaining time; zero if the server is warm.
    void coldRemainingReported(std::chrono::milliseconds coldRemaining, TimePoint now);

    /// \return the reason why the server accepts no calls at all; std::nullopt if it accepts calls.
    std::optional<Reason> unavailableReason() const;

    /// \return the reason why the run must not start on this server, regardless of free slots;
    /// std::nullopt if it may start.
    std::optional<Reason> refusalReason(const RunAttempt &run, TimePoint now) const;

    /// \return the state that is reported to other daemons.
    BackendState state(TimePoint now) const;

    /// \return the rules of the server's service; null if the configuration does not contain it.
    const ServiceRules *rules() const;

    /// \return the name of the server's service; empty before its first heartbeat.
    std::string service() const;

    const Configuration *configuration() const { return m_configuration.get(); }

private:
    bool isKnownService(const std::string &name) const;
    void applyRules();

    Locality m_locality;
    double m_coldSlack;
    ConfigurationPtr m_configuration;
};

} // namespace Coltsfootwell
