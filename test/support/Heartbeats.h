// Heartbeats for tests of the registration of a backend server.
#pragma once

#include "decisions/BackendRegistration.h"

namespace Coltsfootwell::Testing {

/// \return a heartbeat of the service "s".
inline BackendHeartbeat heartbeatOf(std::string instance, std::int64_t processStartMs,
                                    std::uint64_t sequence,
                                    AnnouncedState state = AnnouncedState::Ready)
{
    BackendHeartbeat heartbeat;
    heartbeat.instance = std::move(instance);
    heartbeat.processStartMs = processStartMs;
    heartbeat.sequence = sequence;
    heartbeat.state = state;
    heartbeat.service = "s";
    heartbeat.slots = 9;
    return heartbeat;
}

} // namespace Coltsfootwell::Testing
