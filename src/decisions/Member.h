// What daemons know of each other.
#pragma once

#include "decisions/Ids.h"

#include <cstdint>
#include <string>

namespace Coltsfootwell {

/// \brief Health of a daemon as its peers see it, in the order in which states of the same
/// incarnation and sequence override each other.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Unreachable,
    Left,
};

/// \brief State of the backend server beside a daemon.
enum class BackendState : std::uint8_t {
    Absent,
    Cold,
    Warm,
    Draining,
    Gone,
};

/// \brief IPv4 or IPv6 address with a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// \brief One daemon as it announces itself.
struct Member
{
    DaemonId id;
    /// Raised by the daemon itself on each change of its record.
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Alive;
    Endpoint endpoint;
    /// Port at which callers reach the daemon at the same address.
    std::uint16_t callerPort = 0;
    std::string region;
    std::string dataCentre;
    /// Empty when no backend server has announced itself.
    std::string service;
    BackendState backend = BackendState::Absent;
    std::uint32_t slots = 0;
    /// True once the daemon has begun a planned stop.
    bool leaving = false;
    /// True while the store does not answer the daemon.
    bool storeLost = false;

    bool operator==(const Member &) const = default;
};

} // namespace Coltsfootwell
