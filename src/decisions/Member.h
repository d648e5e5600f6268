// Members of the cluster as the membership protocol describes them.
#pragma once

#include "decisions/Ids.h"

#include <cstdint>
#include <string>

namespace Coltsfootwell {

/// \brief Health of a daemon as observed by other members. Of two states with the same incarnation
/// and sequence the later one in this list takes precedence.
enum class MemberState : std::uint8_t {
    Alive,
    /// Does not reply, but can still refute the suspicion.
    Suspect,
    /// Did not refute a confirmed suspicion within the suspicion timeout.
    Unreachable,
    /// Has ended its planned stop.
    Left,
};

/// \brief State of the backend server beside a daemon.
enum class BackendState : std::uint8_t {
    /// No backend server has registered.
    Absent,
    /// Not warmed up yet; accepts a limited load.
    Cold,
    Warm,
    /// Finishes its current calls and then leaves.
    Draining,
    /// Cannot be reached.
    Gone,
};

/// \brief IPv4 or IPv6 address with a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// \brief A daemon and its backend server as announced to other members. The state may be set by
/// any member, the other fields only by the daemon itself.
struct Member
{
    DaemonId id;
    /// Incremented by the daemon on each change of its own record.
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Alive;
    Endpoint endpoint;
    /// Port for callers, at the address of `endpoint`.
    std::uint16_t callerPort = 0;
    std::string region;
    std::string dataCentre;
    /// Service of the backend server; empty if none has registered.
    std::string service;
    BackendState backend = BackendState::Absent;
    /// Maximum number of concurrent calls to the backend server.
    std::uint32_t slots = 0;
    /// True from the start of a planned stop.
    bool leaving = false;
    /// True while the store does not answer the daemon's calls.
    bool storeLost = false;

    bool operator==(const Member &) const = default;
};

} // namespace Coltsfootwell
