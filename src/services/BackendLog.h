// Part of the service "backend": formatting of its log lines and metrics.
#pragma once

#include "decisions/BackendRegistration.h"
#include "decisions/Load.h"
#include "kernel/Mailbox.h"
#include "services/HttpExchange.h"
#include "services/TelemetryMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \return the name of a backend server's state in log lines.
std::string_view backendStateName(BackendState state);

/// \return the name of a registration change in log lines.
std::string_view registrationChangeName(RegistrationChange change);

/// \return the log fields " inUse=... state=..." of a load report, with a leading space.
std::string loadLogFields(const LoadReport &load);

/// \param registration registration of the backend server.
/// \return the log field " leavingMs=...", the time since the server announced its shutdown, with a
/// leading space; empty while the server is in service.
std::string leavingLogField(const BackendRegistration &registration, TimePoint now);

/// \return the log fields " connection=... status=..." of an exchange with the backend server, with
/// a leading space. They tell which bytes of the server its outcome rests on.
std::string exchangeLogFields(const ExchangeOutcome &outcome, TimePoint now);

/// \param change effect of the heartbeat; the caller does not log heartbeats that only renew the
/// registration.
/// \return the log event "backend.heartbeat".
LogEvent heartbeatEvent(const BackendHeartbeat &heartbeat, RegistrationChange change);

/// \param instance id of the process that has deregistered.
/// \param current registration before the deregistration; empty if the daemon knows none.
/// \param change effect of the deregistration.
/// \return the log event "backend.left".
LogEvent deregistrationEvent(std::string_view instance,
                             const std::optional<BackendHeartbeat> &current,
                             RegistrationChange change);

/// \brief Sends the load gauges of the backend server.
/// \param telemetry receives the gauges.
/// \param service service of the backend server, the label of the gauges.
/// \param load current load.
void sendLoadGauges(const Address<TelemetryMessage> &telemetry, const std::string &service,
                    const LoadReport &load);

} // namespace Coltsfootwell
