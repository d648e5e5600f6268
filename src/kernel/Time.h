// Time as the decisions and the kernel see it: points and spans of the monotonic clock. Wall-clock
// time appears only where a value crosses to another system.
#pragma once

#include <chrono>

namespace Coltsfootwell {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

} // namespace Coltsfootwell
