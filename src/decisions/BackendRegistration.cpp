#include "decisions/BackendRegistration.h"

#include <algorithm>

namespace Coltsfootwell {

RegistrationChange BackendRegistration::heartbeatReceived(const BackendHeartbeat &heartbeat,
                                                          TimePoint now, std::int64_t unixMs)
{
    const RegistrationChange change = applyHeartbeat(heartbeat, now, unixMs);
    const bool isIgnoredShutdown = change == RegistrationChange::Outdated
        && heartbeat.state == AnnouncedState::Draining && m_current && !m_leavingSince
        && m_current->instance == heartbeat.instance && !isKnownDeparture(heartbeat);
    if (!isIgnoredShutdown) {
        return change;
    }
    // The process that announces its shutdown may be the one that serves: its start or its count
    // may be behind those of an earlier process. Like a deregistration, it names only an id.
    m_idReused = true;
    return processLeft(heartbeat.instance, now, unixMs);
}

RegistrationChange BackendRegistration::applyHeartbeat(const BackendHeartbeat &heartbeat,
                                                       TimePoint now, std::int64_t unixMs)
{
    if (isCurrentProcess(heartbeat) && !countsAnew(heartbeat, now)) {
        return currentProcessReported(heartbeat, now, unixMs);
    }
    if (hasLeft(heartbeat, now)) {
        if (heartbeat.state == AnnouncedState::Draining) {
            renewDepartures(heartbeat, now);
        }
        return RegistrationChange::Outdated;
    }
    if (isOlder(heartbeat) && !currentIsSilent(now)) {
        return RegistrationChange::Outdated;
    }
    const bool isFirst = !m_current;
    m_idReused = isUsedId(heartbeat.instance);
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    m_leavingSince.reset();
    m_deregistered = false;
    m_unconfirmedSince = isFirst && m_predecessorExpected ? std::optional(now) : std::nullopt;
    // What covers the process now is too old to be of it.
    forgetDepartures(heartbeat);
    // A process that was draining before this daemon started stays unconfirmed, since the time in
    // which it still accepts calls may be over.
    return heartbeat.state == AnnouncedState::Draining ? currentProcessLeaves(now, unixMs)
                                                       : RegistrationChange::Replaced;
}

void BackendRegistration::forgetCurrent()
{
    m_current.reset();
    m_unconfirmedSince.reset();
    m_leavingSince.reset();
    m_deregistered = false;
}

RegistrationChange BackendRegistration::processLeft(const std::string &instance, TimePoint now,
                                                    std::int64_t unixMs)
{
    if (m_current && m_current->instance == instance) {
        // A health check that was sent before must not return the process to service.
        m_unconfirmedSince.reset();
        m_deregistered = true;
        return currentProcessLeaves(now, unixMs);
    }
    remember({instance, 0, unixMs}, now);
    return m_current ? RegistrationChange::Outdated : RegistrationChange::Renewed;
}

bool BackendRegistration::predecessorKnew(std::span<const LeftProcess> processes, TimePoint now,
                                          std::int64_t unixMs)
{
    const std::vector<LeftProcess> merged = mergedLeftProcesses(processes, leftProcesses());
    std::vector<Departure> departures;
    for (const LeftProcess &process : merged) {
        const auto it = std::ranges::find_if(m_departures, [&process](const Departure &known) {
            return isSameProcess(known.process, process);
        });
        departures.push_back(it == m_departures.end() ? Departure {process, now} : *it);
    }
    m_departures = std::move(departures);
    if (!m_current || m_leavingSince) {
        return false;
    }
    const auto it = std::ranges::find_if(processes, [this](const LeftProcess &process) {
        return isFromLeftProcess(process, *m_current);
    });
    if (it == processes.end()) {
        return false;
    }
    const auto age
        = std::chrono::milliseconds(std::max<std::int64_t>(0, unixMs - it->announcedAtMs));
    m_leavingSince = now - age;
    m_deregistered = true;
    m_unconfirmedSince.reset();
    return true;
}

bool BackendRegistration::healthChecked(std::string_view instance, TimePoint sentAt)
{
    if (!m_unconfirmedSince || instance != m_current->instance || sentAt < *m_unconfirmedSince) {
        return false;
    }
    m_unconfirmedSince.reset();
    if (m_deregistered) {
        returnToService();
    }
    return true;
}

std::vector<LeftProcess> BackendRegistration::leftProcesses() const
{
    std::vector<LeftProcess> processes;
    for (const Departure &departure : m_departures) {
        processes.push_back(departure.process);
    }
    return processes;
}

RegistrationChange BackendRegistration::currentProcessReported(const BackendHeartbeat &heartbeat,
                                                               TimePoint now, std::int64_t unixMs)
{
    const bool isReady = heartbeat.state == AnnouncedState::Ready;
    if (heartbeat.sequence <= m_current->sequence) {
        return RegistrationChange::Outdated;
    }
    if (isReady && m_deregistered) {
        return deregisteredProcessReported(heartbeat, now);
    }
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    if (!isReady) {
        return currentProcessLeaves(now, unixMs);
    }
    if (m_unconfirmedSince && now - *m_unconfirmedSince >= ConfirmationTime) {
        m_unconfirmedSince.reset();
    }
    // A process that has started to drain cannot become ready again.
    return RegistrationChange::Renewed;
}

RegistrationChange BackendRegistration::deregisteredProcessReported(
    const BackendHeartbeat &heartbeat, TimePoint now)
{
    if (!hasLeft(heartbeat, now)) {
        m_current = heartbeat;
        m_lastHeartbeatAt = now;
        returnToService();
        return RegistrationChange::Replaced;
    }
    if (!m_idReused) {
        return RegistrationChange::Outdated;
    }
    // Either the heartbeat or the deregistration is late. A health check tells which.
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    if (!m_unconfirmedSince) {
        m_unconfirmedSince = now;
    }
    return RegistrationChange::Renewed;
}

void BackendRegistration::returnToService()
{
    m_leavingSince.reset();
    m_unconfirmedSince.reset();
    m_deregistered = false;
    forgetDepartures(*m_current);
}

void BackendRegistration::forgetDepartures(const BackendHeartbeat &heartbeat)
{
    std::erase_if(m_departures, [&heartbeat](const Departure &departure) {
        return departure.process.instance == heartbeat.instance
            && isFromLeftProcess(departure.process, heartbeat);
    });
}

RegistrationChange BackendRegistration::currentProcessLeaves(TimePoint now, std::int64_t unixMs)
{
    LeftProcess process = currentProcess();
    process.announcedAtMs = unixMs;
    remember(std::move(process), now);
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

LeftProcess BackendRegistration::currentProcess() const
{
    return {m_current->instance, m_current->processStartMs, 0};
}

bool BackendRegistration::isUsedId(std::string_view instance) const
{
    return (m_current && m_current->instance == instance)
        || std::ranges::any_of(m_departures, [instance](const Departure &departure) {
               return departure.process.instance == instance;
           });
}

bool BackendRegistration::isKnownDeparture(const BackendHeartbeat &heartbeat) const
{
    return std::ranges::any_of(m_departures, [&heartbeat](const Departure &departure) {
        return departure.process.instance == heartbeat.instance
            && departure.process.processStartMs == heartbeat.processStartMs
            && heartbeat.processStartMs != 0;
    });
}

bool BackendRegistration::hasLeft(const BackendHeartbeat &heartbeat, TimePoint now) const
{
    return std::ranges::any_of(m_departures, [&heartbeat, now](const Departure &departure) {
        return now - departure.announcedAt <= MaxHeartbeatDelay
            && isFromLeftProcess(departure.process, heartbeat);
    });
}

void BackendRegistration::renewDepartures(const BackendHeartbeat &heartbeat, TimePoint now)
{
    for (Departure &departure : m_departures) {
        if (isFromLeftProcess(departure.process, heartbeat)) {
            departure.announcedAt = now;
        }
    }
}

bool BackendRegistration::isOlder(const BackendHeartbeat &heartbeat) const
{
    // Processes without a start time replace each other in the order of arrival.
    return m_current && heartbeat.processStartMs != 0 && m_current->processStartMs != 0
        && heartbeat.processStartMs < m_current->processStartMs;
}

bool BackendRegistration::countsAnew(const BackendHeartbeat &heartbeat, TimePoint now) const
{
    return heartbeat.processStartMs == 0 && heartbeat.sequence <= m_current->sequence
        && currentIsSilent(now);
}

bool BackendRegistration::currentIsSilent(TimePoint now) const
{
    return now - m_lastHeartbeatAt > MaxHeartbeatDelay;
}

void BackendRegistration::remember(LeftProcess process, TimePoint now)
{
    const auto known = std::ranges::find_if(m_departures, [&process](const Departure &departure) {
        return isSameProcess(departure.process, process);
    });
    if (known != m_departures.end()) {
        known->announcedAt = now;
        // The start of a process is unknown, so that a repeated deregistration may be of a later
        // one.
        if (process.processStartMs == 0) {
            known->process.announcedAtMs = process.announcedAtMs;
        }
        return;
    }
    if (m_departures.size() == MaxLeftProcesses) {
        m_departures.erase(m_departures.begin());
    }
    m_departures.push_back({std::move(process), now});
}

} // namespace Coltsfootwell
