// Identifiers of daemons and attempts.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Coltsfootwell {

/// \brief Identifies one process of a daemon: start time in milliseconds times 65,536 plus random
/// bits, so that a later process of the same daemon compares greater.
using Incarnation = std::uint64_t;

/// \brief Identifies one process of one daemon.
struct DaemonId
{
    std::string name;
    Incarnation incarnation = 0;

    auto operator<=>(const DaemonId &) const = default;
};

/// \brief Identifies one attempt to run a call on one serving daemon.
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
