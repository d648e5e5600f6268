// Processes of the backend server that have announced their shutdown. Their late heartbeats must
// not put them back into service, but a process that starts again under the same id must be served.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

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

/// Number of processes that a daemon remembers after they have left.
constexpr std::size_t MaxLeftProcesses = 4;

/// \return true if both are the same process, whenever its shutdown was announced.
bool isSameProcess(const LeftProcess &first, const LeftProcess &second);

/// \brief Combines what an earlier and a later process of a daemon know.
/// \param earlier processes in the order of their shutdown.
/// \param later processes in the order of their shutdown.
/// \return the last MaxLeftProcesses of all, each of them once.
std::vector<LeftProcess> mergedLeftProcesses(std::span<const LeftProcess> earlier,
                                             std::span<const LeftProcess> later);

/// \param left process that has announced its shutdown.
/// \param heartbeat heartbeat of any process beside the same daemon.
/// \return true if the heartbeat was sent by the process that has left or by an earlier one.
bool isFromLeftProcess(const LeftProcess &left, const BackendHeartbeat &heartbeat);

} // namespace Coltsfootwell
