// Settings of the stand-in backend server, which are read from the command line.
#pragma once

#include "kernel/Time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Coltsfootwell::Standin {

/// \brief Settings of one stand-in backend server.
struct BackendOptions
{
    std::string service = "service";
    /// Address of the daemon beside the server, "IP address:port".
    std::string daemon = "127.0.0.1:7101";
    /// Port on which the server listens; 0 selects a free port.
    std::uint16_t port = 0;
    /// Maximum number of concurrent calls.
    unsigned slots = 8;
    /// Announced maximum number of connections.
    unsigned connections = 64;
    /// Mean service time of a call in milliseconds.
    double serviceMs = 2;
    /// Distribution of the service time: "fixed", "exponential" or "lognormal".
    std::string distribution = "fixed";
    std::uint64_t seed = 1;
    /// Maximum number of concurrent calls of a cold server; it crashes on one more.
    unsigned coldSlots = 2;
    /// Service time of a cold server as a multiple of the service time of a warm one.
    double coldFactor = 5;
    /// Number of answers after which a cold server is warm; 0 makes the server start warm.
    unsigned warmAfter = 0;
    /// Path of the run history; empty disables it.
    std::string history;
};

} // namespace Coltsfootwell::Standin
