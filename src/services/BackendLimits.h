// Bounds that the parts of the service "backend" share.
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// Longest idle time of a connection for requests that may be sent again.
constexpr Duration MaxIdleIdempotent = std::chrono::seconds(10);
/// Slowness above which a server counts as slow, in percent.
constexpr std::uint32_t SlowThresholdPercent = 180;

} // namespace Coltsfootwell
