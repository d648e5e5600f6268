// Messages about the backend server beside this daemon.
#pragma once

#include "decisions/BackendRegistration.h"
#include "kernel/Mailbox.h"

#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief To "registration": a heartbeat of the backend server.
struct HeartbeatReceived
{
    BackendHeartbeat heartbeat;
    /// Called with true once the daemon keeps to what the heartbeat says.
    Reply<bool> acknowledged;
};

/// \brief To "registration": the backend server leaves for good.
struct DeregistrationReceived
{
    std::string instance;
    Reply<bool> acknowledged;
};

using RegistrationMessage = std::variant<HeartbeatReceived, DeregistrationReceived>;

} // namespace Coltsfootwell
