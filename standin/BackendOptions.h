// Command line of the stand-in backend server.
#pragma once

#include "kernel/Time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Coltsfootwell::Standin {

/// \brief What one stand-in backend server is like.
struct BackendOptions
{
    std::string service = "service";
    std::string daemon = "127.0.0.1:7101";
    std::uint16_t port = 0;
    unsigned slots = 8;
    unsigned connections = 64;
    /// Mean time for one call, in ms.
    double serviceMs = 2;
    /// "fixed", "exponential" or "lognormal".
    std::string distribution = "fixed";
    std::uint64_t seed = 1;
    /// Calls that a cold server bears at once.
    unsigned coldSlots = 2;
    /// How many times slower a cold server is.
    double coldFactor = 5;
    /// Answers after which a cold server is warm; 0 starts warm.
    unsigned warmAfter = 0;
    /// File for the history; empty writes none.
    std::string history;
};

} // namespace Coltsfootwell::Standin
