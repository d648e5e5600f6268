#include "decisions/BackendRegistration.h"

#include <algorithm>

namespace Coltsfootwell {

RegistrationChange BackendRegistration::heartbeatReceived(const BackendHeartbeat &heartbeat,
                                                          TimePoint now, std::int64_t unixMs)
{
    const RegistrationChange change = applyHeartbeat(heartbeat, now, unixMs);
    if (change != RegistrationChange::Outdated || heartbeat.state != AnnouncedState::Draining) {
        return change;
    }
    renewDepartures(heartbeat, now);
    const bool isIgnoredShutdown = m_current && !m_leavingSince
        && m_current->instance == heartbeat.instance && !isKnownDeparture(heartbeat);
    if (!isIgnoredShutdown) {
        // A process whose start is behind that of the current one, since the clock was set back,
        // takes its place once that is silent. A late heartbeat must not return it then.
        const bool isOfOtherId = m_current && m_current->instance != heartbeat.instance;
        if (isOfOtherId && heartbeat.processStartMs != 0 && !isKnownDeparture(heartbeat)) {
            remember({{heartbeat.instance, heartbeat.processStartMs, unixMs}, now, unixMs});
        }
        return change;
    }
    // The process that announces its shutdown may be the one that serves: its start or its count
    // may be behind those of an earlier process. Like a deregistration, it names only an id.
    m_idReused = true;
    if (heartbeat.processStartMs != 0) {
        // The process repeats its announcement, which tells nothing new then.
        remember({{heartbeat.instance, heartbeat.processStartMs, unixMs}, now});
    }
    return processLeft(heartbeat.instance, now, unixMs);
}

RegistrationChange BackendRegistration::applyHeartbeat(const BackendHeartbeat &heartbeat,
                                                       TimePoint now, std::int64_t unixMs)
{
    if (isCurrentProcess(heartbeat) && !countsAnew(heartbeat, now)) {
        return currentProcessReported(heartbeat, now, unixMs);
    }
    if (hasLeft(heartbeat, now)) {
        return RegistrationChange::Outdated;
    }
    if (isOlder(heartbeat) && !currentIsSilent(now)) {
        return RegistrationChange::Outdated;
    }
    if (const auto departure = doubtfulDeparture(heartbeat, now);
        departure && heartbeat.state == AnnouncedState::Ready) {
        return registerInDoubt(heartbeat, *departure, now);
    }
    // While the first registration is not confirmed, a second process may be one that has left.
    const bool wasConfirmed = m_current && (!m_unconfirmedSince || m_deregisteredAt);
    m_idReused = isUsedId(heartbeat.instance);
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    m_leavingSince.reset();
    m_deregisteredAt.reset();
    m_unconfirmedSince = m_predecessorExpected && !wasConfirmed ? std::optional(now) : std::nullopt;
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
    m_deregisteredAt.reset();
}

RegistrationChange BackendRegistration::processLeft(const std::string &instance, TimePoint now,
                                                    std::int64_t unixMs)
{
    if (m_current && m_current->instance == instance) {
        // A health check that was sent before must not return the process to service.
        m_unconfirmedSince.reset();
        // A process that has said that it drains leaves, whomever the deregistration is of.
        if (!m_leavingSince || m_deregisteredAt) {
            m_deregisteredAt = now;
        }
        return currentProcessLeaves(now, unixMs);
    }
    remember({{instance, 0, unixMs}, now, unixMs});
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
        departures.push_back(
            it == m_departures.end() ? Departure {process, now, process.announcedAtMs} : *it);
    }
    m_departures = std::move(departures);
    m_predecessorKnown = true;
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
    m_deregisteredAt = now;
    m_unconfirmedSince.reset();
    return true;
}

bool BackendRegistration::healthChecked(std::string_view instance, TimePoint sentAt)
{
    if (!awaitsHealthCheck() || instance != m_current->instance
        || sentAt < (m_deregisteredAt ? m_lastHeartbeatAt : *m_unconfirmedSince)) {
        return false;
    }
    m_unconfirmedSince.reset();
    if (m_deregisteredAt) {
        returnToService();
    }
    return true;
}

bool BackendRegistration::awaitsHealthCheck() const
{
    if (!m_unconfirmedSince || !m_deregisteredAt) {
        return m_unconfirmedSince.has_value();
    }
    return m_lastHeartbeatAt - *m_deregisteredAt > LateHeartbeatLimit
        && m_lastHeartbeatAt - *m_unconfirmedSince >= ConfirmationTime;
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
    if (isReady && m_deregisteredAt) {
        return deregisteredProcessReported(heartbeat, now);
    }
    if (isReady && m_leavingSince && heartbeat.processStartMs == 0) {
        return drainingProcessReported(heartbeat, now);
    }
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    if (!isReady) {
        if (m_deregisteredAt) {
            // The process leaves, so that no health check may return it to service.
            m_deregisteredAt.reset();
            m_unconfirmedSince.reset();
        }
        return currentProcessLeaves(now, unixMs);
    }
    const Duration confirmedAfter = m_predecessorKnown ? ConfirmationTime : LateHeartbeatLimit;
    if (m_unconfirmedSince && now - *m_unconfirmedSince >= confirmedAfter) {
        m_unconfirmedSince.reset();
    }
    // A process that has started to drain cannot become ready again.
    return RegistrationChange::Renewed;
}

RegistrationChange BackendRegistration::drainingProcessReported(const BackendHeartbeat &heartbeat,
                                                                TimePoint now)
{
    // The process that drains cannot become ready again, so that the heartbeat is of another one.
    if (hasLeft(heartbeat, now)) {
        return RegistrationChange::Outdated;
    }
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    returnToService();
    return RegistrationChange::Replaced;
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
    // Either the heartbeat or the deregistration is late. Further heartbeats and a health check
    // tell which.
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
    m_deregisteredAt.reset();
    forgetDepartures(*m_current);
}

void BackendRegistration::forgetDepartures(const BackendHeartbeat &heartbeat)
{
    std::erase_if(m_departures, [&heartbeat](const Departure &departure) {
        return departure.process.instance == heartbeat.instance
            && isFromLeftProcess(departure.process, heartbeat);
    });
}

RegistrationChange BackendRegistration::registerInDoubt(const BackendHeartbeat &heartbeat,
                                                        Departure departure, TimePoint now)
{
    m_idReused = true;
    m_current = heartbeat;
    m_lastHeartbeatAt = now;
    m_unconfirmedSince = now;
    m_leavingSince = m_deregisteredAt = departure.announcedAt;
    departure.process = currentProcess();
    departure.process.announcedAtMs = departure.lastAnnouncedAtMs;
    remember(departure);
    return RegistrationChange::Replaced;
}

RegistrationChange BackendRegistration::currentProcessLeaves(TimePoint now, std::int64_t unixMs)
{
    LeftProcess process = currentProcess();
    process.announcedAtMs = unixMs;
    remember({std::move(process), now, unixMs});
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

std::optional<BackendRegistration::Departure> BackendRegistration::doubtfulDeparture(
    const BackendHeartbeat &heartbeat, TimePoint now) const
{
    const auto it = std::ranges::find_if(m_departures, [&heartbeat, now](const Departure &known) {
        return known.process.instance == heartbeat.instance
            && heartbeat.processStartMs <= known.lastAnnouncedAtMs
            && now - known.announcedAt <= MaxHeartbeatDelay;
    });
    return it == m_departures.end() ? std::nullopt : std::optional(*it);
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

void BackendRegistration::remember(const Departure &departure)
{
    const auto known = std::ranges::find_if(m_departures, [&departure](const Departure &other) {
        return isSameProcess(other.process, departure.process);
    });
    if (known != m_departures.end()) {
        known->announcedAt = departure.announcedAt;
        known->lastAnnouncedAtMs = departure.lastAnnouncedAtMs;
        // The start of a process is unknown, so that a repeated deregistration may be of a later
        // one.
        if (departure.process.processStartMs == 0) {
            known->process.announcedAtMs = departure.process.announcedAtMs;
        }
        return;
    }
    if (m_departures.size() == MaxLeftProcesses) {
        m_departures.erase(m_departures.begin());
    }
    m_departures.push_back(departure);
}

} // namespace Coltsfootwell
