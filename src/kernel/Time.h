// Time types of the kernel and the decisions, based on the monotonic clock. Wall-clock time is used
// only in values that are exchanged with other systems.
#pragma once

#include <chrono>

namespace Coltsfootwell {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// \return the duration multiplied by the factor.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace Coltsfootwell
