// Messages of the service "telemetry".
#pragma once

#include "kernel/Time.h"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief Adds to a counter.
struct IncrementCounter
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

/// \brief Adds a time to a histogram.
struct ObserveDuration
{
    /// Name without the prefix "coltsfootwell_"; a string literal.
    std::string_view metric;
    std::string kind;
    Duration time {};
};

/// \brief How much a log line is missed when lines have to be left out.
enum class LogWeight {
    /// One of many of its kind.
    Routine,
    /// Needed to explain a failure.
    Important,
};

/// \brief Writes one log line.
struct LogEvent
{
    /// Name of the event; a string literal.
    std::string_view event;
    /// Id of the request that it is about; empty for none.
    std::string request;
    /// Further fields as "key=value key=value".
    std::string text;
    LogWeight weight = LogWeight::Important;
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

using TelemetryMessage
    = std::variant<IncrementCounter, SetGauge, ObserveDuration, LogEvent, SpanEnded>;

} // namespace Coltsfootwell
