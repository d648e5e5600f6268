// Messages of the membership protocol between two daemons, free of any encoding.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/MemberRecord.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Asks for an answer.
struct Ping
{
    std::uint64_t nonce = 0;
    /// True when the answer is to carry the digest of the member list.
    bool digestRequested = false;
    /// Position of the operators' state that the sender knows.
    std::uint64_t position = 0;

    bool operator==(const Ping &) const = default;
};

/// \brief Answers a ping.
struct Ack
{
    std::uint64_t nonce = 0;
    /// Position of the operators' state that the sender knows.
    std::uint64_t position = 0;
    std::optional<std::uint64_t> digest;

    bool operator==(const Ack &) const = default;
};

/// \brief Asks the receiver to ping another daemon.
struct IndirectPing
{
    std::uint64_t nonce = 0;
    std::string target;
    Endpoint endpoint;

    bool operator==(const IndirectPing &) const = default;
};

/// \brief The target of an indirect ping has answered.
struct IndirectAck
{
    std::uint64_t nonce = 0;
    std::string target;

    bool operator==(const IndirectAck &) const = default;
};

/// \brief One datagram.
struct Datagram
{
    static constexpr std::size_t MaxRecords = 8;
    static constexpr std::size_t MaxBytes = 1200;

    MemberRecord from;
    std::variant<Ping, Ack, IndirectPing, IndirectAck> body;
    /// Further records, at most MaxRecords.
    std::vector<MemberRecord> records;

    bool operator==(const Datagram &) const = default;
};

} // namespace Coltsfootwell
