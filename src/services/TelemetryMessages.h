// Messages of the service "telemetry".
#pragma once

#include "kernel/Time.h"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief Adds to a counter.
struct CountEvent
{
    /// Name without the prefix "coltsfootwell_"; a string literal.
    std::string_view metric;
    /// Value of the label "kind".
    std::string kind;
    double amount = 1;
};

/// \brief Sets a gauge.
struct SetGauge
{
    /// Name without the prefix "coltsfootwell_"; a string literal.
    std::string_view metric;
    std::string kind;
    double value = 0;
};

/// \brief A hop of a call has ended. Never sent for calls that must leave no trace here.
struct SpanEnded
{
    /// Header "traceparent" of this hop.
    std::string traceParent;
    /// Header as it was received; empty for the first hop.
    std::string parent;
    /// "call" on the entry daemon, "run" on the serving daemon.
    std::string_view name;
    std::string service;
    std::string method;
    std::string_view outcome;
    std::string reason;
    unsigned status = 0;
    std::chrono::system_clock::time_point began;
    Duration elapsed {};
};

/// \brief Writes one log line about a change of state.
struct StateChanged
{
    /// Name of the service whose state has changed.
    std::string_view service;
    std::string text;
};

using TelemetryMessage = std::variant<CountEvent, SetGauge, SpanEnded, StateChanged>;

} // namespace Coltsfootwell
