// Computes when the caller of a refused call should retry.
#pragma once

#include "kernel/Random.h"
#include "kernel/Time.h"

#include <optional>

namespace Coltsfootwell {

/// The proposed delay is at most the remaining time divided by this number.
constexpr int RetryAfterDivisor = 3;

/// \brief Computes a random delay, so that callers that are refused together do not retry together.
/// \param remaining time until the caller's deadline.
/// \param random source of the jitter.
/// \return delay before the retry; empty if the remaining time is too short for one.
std::optional<Duration> retryAfter(Duration remaining, Random &random);

} // namespace Coltsfootwell
