// Datagrams of the membership protocol, independent of their encoding.
#pragma once

#include "decisions/ControlStateSummary.h"
#include "decisions/MemberRecord.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Probes a daemon, which replies with an Ack.
struct Ping
{
    std::uint64_t nonce = 0;
    /// True if the Ack must include the digest of the member list.
    bool digestRequested = false;
    /// Control state of the sender.
    ControlStateSummary state;

    bool operator==(const Ping &) const = default;
};

/// \brief Reply to a Ping.
struct Ack
{
    std::uint64_t nonce = 0;
    /// Control state of the sender.
    ControlStateSummary state;
    /// Digest of the sender's member list; only when the Ping requested it.
    std::optional<std::uint64_t> digest;

    bool operator==(const Ack &) const = default;
};

/// \brief Requests that the receiver pings another daemon on behalf of the sender.
struct IndirectPing
{
    std::uint64_t nonce = 0;
    /// Name of the daemon to ping.
    std::string target;
    /// Endpoint of the target, for a receiver that does not have the target in its member list.
    Endpoint endpoint;

    bool operator==(const IndirectPing &) const = default;
};

/// \brief Reports that the target of an IndirectPing has replied.
struct IndirectAck
{
    std::uint64_t nonce = 0;
    std::string target;

    bool operator==(const IndirectAck &) const = default;
};

/// \brief A datagram with its piggybacked gossip.
struct Datagram
{
    /// Maximum number of gossip records in a datagram.
    static constexpr std::size_t MaxRecords = 8;
    /// Maximum encoded size of a datagram.
    static constexpr std::size_t MaxBytes = 1200;

    /// The sender's own record.
    MemberRecord from;
    std::variant<Ping, Ack, IndirectPing, IndirectAck> body;
    /// Gossip; no more than MaxRecords.
    std::vector<MemberRecord> records;

    bool operator==(const Datagram &) const = default;
};

} // namespace Coltsfootwell
