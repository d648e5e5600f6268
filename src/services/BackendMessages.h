// Messages about the registration of the local backend server and about its shutdown.
#pragma once

#include "decisions/BackendRegistration.h"
#include "kernel/Mailbox.h"

#include <string>
#include <variant>
#include <vector>

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

/// \brief To "registration": the shutdowns that earlier processes of this daemon have acknowledged,
/// as far as the store knows them.
struct PredecessorRecordRead
{
    /// Processes in the order of their shutdown.
    std::vector<LeftProcess> processes;
};

using RegistrationMessage
    = std::variant<HeartbeatReceived, DeregistrationReceived, PredecessorRecordRead>;

/// \brief To "left-processes": records processes that have announced their shutdown, in place of
/// those recorded before.
struct RecordLeftProcesses
{
    /// Processes in the order of their shutdown.
    std::vector<LeftProcess> processes;
    /// Called with true once the store has them, or with false if that takes too long.
    Reply<bool> recorded;
};

} // namespace Coltsfootwell
