// Messages of the service "telemetry".
#pragma once

#include "kernel/Time.h"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace Coltsfootwell {

/// \brief Increments a counter.
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

/// \brief Adds a duration to a histogram, whose unit is seconds.
struct ObserveDuration
{
    /// Name without the prefix "coltsfootwell_"; a string literal.
    std::string_view metric;
    std::string kind;
    Duration time {};
};

/// \brief Weight of a log line. Each weight of an event has its own rate limit.
enum class LogWeight {
    /// One of many similar lines.
    Routine,
    /// Needed to diagnose a failure; has the higher limit.
    Important,
};

/// \brief Writes one log line.
struct LogEvent
{
    /// Name of the event; a string literal.
    std::string_view event;
    /// Id of the request that the event belongs to; empty for none.
    std::string request;
    /// Further fields in the form "key=value key=value".
    std::string fields;
    LogWeight weight = LogWeight::Important;
};

using TelemetryMessage = std::variant<IncrementCounter, SetGauge, ObserveDuration, LogEvent>;

} // namespace Coltsfootwell
