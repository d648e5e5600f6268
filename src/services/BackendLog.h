// Part of the service "backend": its words in the log and in metrics.
#pragma once

#include "decisions/BackendRegistration.h"
#include "decisions/Load.h"
#include "kernel/Mailbox.h"
#include "services/TelemetryMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param state of a backend server.
/// \return its name in the log.
std::string_view stateName(BackendState state);

/// \param change that a heartbeat or a farewell made.
/// \return its name in the log.
std::string_view changeName(RegistrationChange change);

/// \param load as told to others.
/// \return the fields " inUse=... state=...".
std::string loadText(const LoadReport &load);

/// \param change that the heartbeat made; one that only renews the registration is not logged.
/// \return the log line.
LogEvent heartbeatEvent(const BackendHeartbeat &heartbeat, RegistrationChange change);

/// \brief Sets the gauges of the backend server.
/// \param telemetry gets them.
/// \param service of the backend server.
void sendLoadGauges(const Address<TelemetryMessage> &telemetry, const std::string &service,
                    const LoadReport &load);

} // namespace Coltsfootwell
