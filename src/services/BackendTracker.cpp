#include "services/BackendTracker.h"

#include <algorithm>

namespace Coltsfootwell {

BackendTracker::BackendTracker(Locality locality, double coldSlack)
    : m_locality(std::move(locality)), m_coldSlack(coldSlack)
{
}

bool BackendTracker::configurationChanged(ConfigurationPtr configuration)
{
    const bool wasOutOfService
        = m_configuration && !m_configuration->inService(m_locality.dataCentre);
    m_configuration = std::move(configuration);
    applyRules();
    return wasOutOfService && m_configuration && m_configuration->inService(m_locality.dataCentre);
}

RegistrationChange BackendTracker::heartbeatReceived(const BackendHeartbeat &heartbeat,
                                                     TimePoint now, std::int64_t unixMs)
{
    const bool isKnown = isKnownService(heartbeat.service);
    const auto &current = registration.current();
    if (current && isKnown != isKnownService(current->service)) {
        if (!isKnown) {
            return RegistrationChange::Outdated;
        }
        registration.forgetCurrent();
    }
    return registration.heartbeatReceived(heartbeat, now, unixMs);
}

bool BackendTracker::isKnownService(const std::string &name) const
{
    return !m_configuration || m_configuration->services.contains(name);
}

void BackendTracker::instanceReplaced(TimePoint now)
{
    health.reset();
    concurrencyLimit.reset();
    applyRules();
    coldRateLimiter.setColdUntil(now + registration.current()->coldRemaining);
}

void BackendTracker::coldRemainingReported(std::chrono::milliseconds coldRemaining, TimePoint now)
{
    coldRateLimiter.setColdUntil(now + coldRemaining);
}

std::optional<Reason> BackendTracker::unavailableReason() const
{
    if (!registration.current() || !registration.isConfirmed() || health.isDown()) {
        return Reason::NoBackendServer;
    }
    // From the announcement on, however long the server still serves: a request waits in the
    // server's buffers while the server stands still, so no time is known by which it is read.
    if (registration.leavingSince()) {
        return Reason::Draining;
    }
    if (!m_configuration) {
        return Reason::StaleConfiguration;
    }
    if (!m_configuration->inService(m_locality.dataCentre)) {
        return Reason::DataCentreOut;
    }
    if (m_configuration->drained.contains(m_locality.self.name)) {
        return Reason::Draining;
    }
    return std::nullopt;
}

std::optional<Reason> BackendTracker::refusalReason(const RunAttempt &run, TimePoint now) const
{
    const auto &homeRegions = run.call.homeRegions;
    if (!homeRegions.empty()
        && std::ranges::find(homeRegions, m_locality.region) == homeRegions.end()) {
        return Reason::OutsideHomeRegions;
    }
    if (const auto reason = unavailableReason()) {
        return reason;
    }
    if (run.service != registration.current()->service) {
        return Reason::NoBackendServer;
    }
    return now >= run.deadline ? std::optional(Reason::Deadline) : std::nullopt;
}

BackendState BackendTracker::state(TimePoint now) const
{
    if (!registration.current() || !registration.isConfirmed()) {
        return BackendState::Absent;
    }
    if (registration.leavingSince()) {
        return BackendState::Draining;
    }
    if (health.isDown()) {
        return BackendState::Gone;
    }
    return coldRateLimiter.isCold(now) ? BackendState::Cold : BackendState::Warm;
}

const ServiceRules *BackendTracker::rules() const
{
    if (!m_configuration || !registration.current()) {
        return nullptr;
    }
    const auto it = m_configuration->services.find(registration.current()->service);
    return it == m_configuration->services.end() ? nullptr : &it->second;
}

std::string BackendTracker::service() const
{
    return registration.current() ? registration.current()->service : std::string();
}

void BackendTracker::applyRules()
{
    const ServiceRules *serviceRules = rules();
    coldRateLimiter.limitChanged(serviceRules ? serviceRules->coldStart.callsPerSecond : 0,
                                 m_coldSlack);
}

} // namespace Coltsfootwell
