// What the decisions know of a call; nothing of how it was encoded.
#pragma once

#include "kernel/Time.h"

#include <string>
#include <vector>

namespace Coltsfootwell {

constexpr unsigned MaxCallDepth = 17;

/// \brief Facts of one call that steer routing, admission and retries.
struct CallFacts
{
    std::string service;
    std::string tenant;
    bool idempotent = false;
    /// Empty when every region may serve the call.
    std::vector<std::string> homeRegions;
    /// Number of calls above this one.
    unsigned depth = 0;
    TimePoint deadline {};
    /// False when the body is streamed and can be sent once only.
    bool bodyReplayable = true;
};

} // namespace Coltsfootwell
