// Tells a caller whose call was refused when to come back.
#pragma once

#include "kernel/Random.h"
#include "kernel/Time.h"

#include <optional>

namespace Coltsfootwell {

/// Callers wait at most this part of the time they have left.
constexpr int RetryAfterShare = 3;

/// \brief Load pattern: a burst that is refused together must not come back together.
/// \param left time until the caller gives up.
/// \param random spreads the returns.
/// \return time to wait; nothing when there is too little left to come back at all.
std::optional<Duration> retryAfter(Duration left, Random &random);

} // namespace Coltsfootwell
