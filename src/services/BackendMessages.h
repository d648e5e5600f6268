// Messages about the registration of the local backend server.
#pragma once

#include "decisions/BackendRegistration.h"
#include "kernel/Mailbox.h"

#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief To "registration": the backend server has sent a heartbeat.
struct HeartbeatReceived
{
    BackendHeartbeat heartbeat;
    /// Called with true once the heartbeat has been applied.
    Reply<bool> acknowledged;
};

/// \brief To "registration": the backend server has deregistered.
struct DeregistrationReceived
{
    /// Id of the backend server process.
    std::string instance;
    /// Called with true once the deregistration has been applied.
    Reply<bool> acknowledged;
};

using RegistrationMessage = std::variant<HeartbeatReceived, DeregistrationReceived>;

} // namespace Coltsfootwell
