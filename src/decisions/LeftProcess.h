// Processes of the backend server that have announced their shutdown. Their late heartbeats must
// not put them back into service, but a process that starts again under the same id must be served.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <string>

namespace Coltsfootwell {

struct BackendHeartbeat;

/// \brief A process of the backend server that has announced its shutdown.
struct LeftProcess
{
    /// Identifier of the process, which a later process may use again.
    std::string instance;
    /// Start time of the process in Unix milliseconds; 0 if unknown, since a deregistration does
    /// not contain it.
    std::int64_t processStartMs = 0;
    /// Time at which the daemon received the announcement, in Unix milliseconds. The process has
    /// started before it.
    std::int64_t announcedAtMs = 0;

    bool operator==(const LeftProcess &) const = default;
};

/// \param left process that has announced its shutdown.
/// \param heartbeat heartbeat of any process beside the same daemon.
/// \return true if the heartbeat was sent by the process that has left or by an earlier one.
bool isFromLeftProcess(const LeftProcess &left, const BackendHeartbeat &heartbeat);

} // namespace Coltsfootwell
