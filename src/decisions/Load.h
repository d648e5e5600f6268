// Load of a backend server as the daemon beside it reports it.
#pragma once

#include "decisions/Member.h"

#include <cstdint>

namespace Coltsfootwell {

/// \brief Counted by the serving daemon, stale as soon as it is sent.
struct LoadReport
{
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    BackendState state = BackendState::Absent;
    /// Time that work takes at this moment, in percent of the usual time.
    std::uint32_t slownessPercent = 100;
    /// Share of recent answers that were failures, in percent.
    std::uint32_t failurePercent = 0;
    /// Usual time of one answer in microseconds; 0 when unknown.
    std::uint32_t answerMicros = 0;
    /// The same for nested calls, which are often much shorter than a service's other calls.
    std::uint32_t nestedMicros = 0;
    /// Slots within the limit that only nested calls get.
    std::uint32_t reserved = 0;

    bool operator==(const LoadReport &) const = default;
};

} // namespace Coltsfootwell
