// Identifiers that daemons exchange.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Coltsfootwell {

/// \brief Start of one daemon process: start time in ms times 65,536 plus random bits, so that a
/// later process of the same daemon compares greater.
using Incarnation = std::uint64_t;

/// \brief One process of one daemon.
struct DaemonId
{
    std::string name;
    Incarnation incarnation = 0;

    auto operator<=>(const DaemonId &) const = default;
};

/// \brief One attempt to run a call on one serving daemon.
struct AttemptId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const AttemptId &) const = default;
};

} // namespace Coltsfootwell

template <>
struct std::hash<Coltsfootwell::AttemptId>
{
    std::size_t operator()(const Coltsfootwell::AttemptId &id) const noexcept
    {
        return id.high ^ (id.low * 0x9e3779b97f4a7c15ULL);
    }
};

template <>
struct std::hash<Coltsfootwell::DaemonId>
{
    std::size_t operator()(const Coltsfootwell::DaemonId &id) const noexcept
    {
        return std::hash<std::string>()(id.name) ^ (id.incarnation * 0x9e3779b97f4a7c15ULL);
    }
};
