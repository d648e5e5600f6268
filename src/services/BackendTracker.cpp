#include "services/BackendTracker.h"

#include <algorithm>

namespace Coltsfootwell {

BackendTracker::BackendTracker(Locality place, std::chrono::milliseconds drainTime,
                               double coldSlack)
    : m_place(std::move(place)), m_drainTime(drainTime), m_coldSlack(coldSlack)
{
}

bool BackendTracker::configurationChanged(ConfigurationPtr configuration)
{
    const bool wasOut = m_configuration && !m_configuration->inService(m_place.dataCentre);
    m_configuration = std::move(configuration);
    applyRules();
    return wasOut && m_configuration && m_configuration->inService(m_place.dataCentre);
}

void BackendTracker::replaced(TimePoint now)
{
    health.reset();
    crowding.reset();
    applyRules();
    pacer.setColdUntil(now + registration.current()->coldRemaining);
}

void BackendTracker::reportedCold(std::chrono::milliseconds cold, TimePoint now)
{
    pacer.setColdUntil(now + cold);
}

std::optional<Reason> BackendTracker::closed(TimePoint now) const
{
    if (!registration.current() || health.isDown()) {
        return Reason::NoBackendServer;
    }
    if (const auto since = registration.leavingSince(); since && now - *since > m_drainTime) {
        return Reason::Draining;
    }
    if (!m_configuration) {
        return Reason::StaleConfiguration;
    }
    if (!m_configuration->inService(m_place.dataCentre)) {
        return Reason::DataCentreOut;
    }
    if (m_configuration->drained.contains(m_place.self.name)) {
        return Reason::Draining;
    }
    return std::nullopt;
}

std::optional<Reason> BackendTracker::refusalOf(const RunAttempt &run, TimePoint now) const
{
    const auto &homes = run.call.homeRegions;
    if (!homes.empty() && std::ranges::find(homes, m_place.region) == homes.end()) {
        return Reason::OutsideHomeRegions;
    }
    if (const auto reason = closed(now)) {
        return reason;
    }
    if (run.service != registration.current()->service) {
        return Reason::NoBackendServer;
    }
    return now >= run.deadline ? std::optional(Reason::Deadline) : std::nullopt;
}

BackendState BackendTracker::state(TimePoint now) const
{
    if (!registration.current()) {
        return BackendState::Absent;
    }
    if (registration.leavingSince()) {
        return BackendState::Draining;
    }
    if (health.isDown()) {
        return BackendState::Gone;
    }
    return pacer.isCold(now) ? BackendState::Cold : BackendState::Warm;
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
    const ServiceRules *found = rules();
    pacer.limitChanged(found ? found->coldStart.callsPerSecond : 0, m_coldSlack);
}

} // namespace Coltsfootwell
