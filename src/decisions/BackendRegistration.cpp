#include "decisions/BackendRegistration.h"

namespace Coltsfootwell {

RegistrationChange BackendRegistration::heartbeatReceived(const BackendHeartbeat &heartbeat,
                                                          TimePoint now)
{
    const bool hasLeft
        = heartbeat.instance == m_leftInstance && heartbeat.processStartMs <= m_leftProcessStartMs;
    if (hasLeft || isOlder(heartbeat)) {
        return RegistrationChange::Outdated;
    }
    const bool sameProcess = m_current && m_current->instance == heartbeat.instance
        && m_current->processStartMs == heartbeat.processStartMs;
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

RegistrationChange BackendRegistration::processLeft(const std::string &instance, TimePoint now)
{
    if (m_current && m_current->instance != instance) {
        return RegistrationChange::Outdated;
    }
    m_leftInstance = instance;
    m_leftProcessStartMs = m_current ? m_current->processStartMs : 0;
    if (!m_current || m_leavingSince) {
        return RegistrationChange::Renewed;
    }
    m_leavingSince = now;
    return RegistrationChange::Leaving;
}

bool BackendRegistration::isOlder(const BackendHeartbeat &heartbeat) const
{
    if (!m_current) {
        return false;
    }
    if (heartbeat.instance == m_current->instance
        && heartbeat.processStartMs == m_current->processStartMs) {
        return heartbeat.sequence <= m_current->sequence;
    }
    // Processes without a start time replace each other in the order of arrival.
    return heartbeat.processStartMs != 0 && m_current->processStartMs != 0
        && heartbeat.processStartMs < m_current->processStartMs;
}

} // namespace Coltsfootwell
