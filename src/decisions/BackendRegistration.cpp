#include "decisions/BackendRegistration.h"

#include <algorithm>

namespace Coltsfootwell {

RegistrationChange BackendRegistration::heartbeatReceived(const BackendHeartbeat &heartbeat,
                                                          TimePoint now)
{
    if (hasLeft(heartbeat, now) || isOlder(heartbeat, now)) {
        return RegistrationChange::Outdated;
    }
    const bool sameProcess = isCurrentProcess(heartbeat);
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    if (!sameProcess) {
        m_leavingSince.reset();
    }
    if (heartbeat.state == AnnouncedState::Draining) {
        if (m_leavingSince) {
            return RegistrationChange::Renewed;
        }
        m_leavingSince = now;
        return RegistrationChange::Leaving;
    }
    if (!sameProcess) {
        return RegistrationChange::Replaced;
    }
    // A process that has started to drain cannot become ready again.
    return RegistrationChange::Renewed;
}

RegistrationChange BackendRegistration::processLeft(const std::string &instance, TimePoint now,
                                                    std::int64_t unixMs)
{
    const bool isCurrent = m_current && m_current->instance == instance;
    remember({instance, isCurrent ? m_current->processStartMs : 0, unixMs}, now);
    if (!isCurrent) {
        return m_current ? RegistrationChange::Outdated : RegistrationChange::Renewed;
    }
    if (m_leavingSince) {
        return RegistrationChange::Renewed;
    }
    m_leavingSince = now;
    return RegistrationChange::Leaving;
}

bool BackendRegistration::isCurrentProcess(const BackendHeartbeat &heartbeat) const
{
    return m_current && m_current->instance == heartbeat.instance
        && m_current->processStartMs == heartbeat.processStartMs;
}

bool BackendRegistration::hasLeft(const BackendHeartbeat &heartbeat, TimePoint now) const
{
    return std::ranges::any_of(m_departures, [&heartbeat, now](const Departure &departure) {
        return now - departure.announcedAt <= MaxHeartbeatDelay
            && isFromLeftProcess(departure.process, heartbeat);
    });
}

bool BackendRegistration::isOlder(const BackendHeartbeat &heartbeat, TimePoint now) const
{
    if (!m_current) {
        return false;
    }
    if (isCurrentProcess(heartbeat)) {
        return heartbeat.sequence <= m_current->sequence;
    }
    // Processes without a start time replace each other in the order of arrival.
    return heartbeat.processStartMs != 0 && m_current->processStartMs != 0
        && heartbeat.processStartMs < m_current->processStartMs;
}

void BackendRegistration::remember(LeftProcess process, TimePoint now)
{
    const auto isSame = [&process](const Departure &departure) {
        return departure.process.instance == process.instance
            && departure.process.processStartMs == process.processStartMs;
    };
    std::erase_if(m_departures, isSame);
    if (m_departures.size() == MaxLeftProcesses) {
        m_departures.erase(m_departures.begin());
    }
    m_departures.push_back({std::move(process), now});
}

} // namespace Coltsfootwell
