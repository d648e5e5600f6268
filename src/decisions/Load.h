// Load report of a backend server, sent by the daemon beside it.
#pragma once

#include "decisions/Member.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Load as counted by the serving daemon; already outdated when it arrives.
struct LoadReport
{
    /// Number of slots in use.
    std::uint32_t inUse = 0;
    /// Number of queued runs.
    std::uint32_t waiting = 0;
    /// Number of slots; 0 if the daemon accepts no runs.
    std::uint32_t limit = 0;
    BackendState state = BackendState::Absent;
    /// Current duration of work, in percent of the typical duration.
    std::uint32_t slownessPercent = 100;
    /// Recent failure rate in percent.
    std::uint32_t failurePercent = 0;
    /// Average time of an answer in microseconds; 0 if unknown.
    std::uint32_t answerMicros = 0;
    /// Average time of an answer to a nested call, which is often much shorter, in microseconds; 0
    /// if unknown.
    std::uint32_t nestedMicros = 0;
    /// Number of slots within the limit that are reserved for nested calls.
    std::uint32_t reserved = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace Coltsfootwell
