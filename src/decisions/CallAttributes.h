// What the decisions know of a call; nothing of how it was encoded.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Coltsfootwell {

constexpr unsigned MaxCallDepth = 17;

/// \brief Facts of one call that steer routing, admission and retries.
struct CallAttributes
{
    std::string service;
    std::string customer;
    bool idempotent = false;
    /// Empty when every region may serve the call.
    std::vector<std::string> homeRegions;
    /// Number of calls above this one.
    unsigned depth = 0;
    TimePoint deadline {};
    /// False when the body is streamed and can be sent once only.
    bool bodyReplayable = true;
    TimePoint received {};
    /// Time by which an answer has its full value.
    TimePoint objective {};
    /// Most backend servers that may run the call.
    unsigned maxAttempts = 3;
    /// Rank among the calls of the service; 0 goes first.
    unsigned priority = 0;
    /// True for a call that a backend server makes while it runs another.
    bool nested = false;
    /// True for a call that a repeated run makes.
    bool fromRepeatedRun = false;
    std::uint64_t bodyBytes = 0;
};

} // namespace Coltsfootwell
