// Limits shared by the components of the service "backend".
#pragma once

#include "kernel/Time.h"

#include <cstdint>

namespace Coltsfootwell {

/// Maximum time for which a connection may have been idle before it is reused for an idempotent
/// request.
constexpr Duration IdempotentMaxIdleTime = std::chrono::seconds(10);
/// Slowness above which a server counts as slow, in percent of its typical answer time.
constexpr std::uint32_t SlowThresholdPercent = 180;

} // namespace Coltsfootwell
