// Time as the decisions and the kernel see it: points and spans of the monotonic clock. Wall-clock
// time appears only where a value crosses to another system.
#pragma once

#include <chrono>

namespace Coltsfootwell {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// \return the duration times the factor.
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace Coltsfootwell
