// Attributes of a call that the decisions depend on, independent of the encoding of the call.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// Nesting depth at which a call is refused.
constexpr unsigned MaxCallDepth = 17;

/// \brief Attributes of one call that determine routing, admission and retries.
struct CallAttributes
{
    std::string service;
    std::string customer;
    bool idempotent = false;
    /// Empty if any region may serve the call.
    std::vector<std::string> homeRegions;
    /// Number of enclosing calls; 0 for a call that is not nested.
    unsigned depth = 0;
    TimePoint deadline {};
    /// False if the body is streamed and can be sent only once.
    bool bodyReplayable = true;
    TimePoint received {};
    /// Time by which an answer has its full value.
    TimePoint objective {};
    /// Maximum number of backend servers that may run the call.
    unsigned maxAttempts = 3;
    /// Priority among the calls of the service; 0 is the highest.
    unsigned priority = 0;
    /// True if a backend server makes the call while it runs another call.
    bool nested = false;
    /// True if the call is made by a repeated run.
    bool fromRepeatedRun = false;
    std::uint64_t bodyBytes = 0;
};

} // namespace Coltsfootwell
