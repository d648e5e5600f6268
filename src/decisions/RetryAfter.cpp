#include "decisions/RetryAfter.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Range of the delay; transient slowdowns and full queues last for a few hundred milliseconds.
constexpr milliseconds MinDelay {60};
constexpr milliseconds MaxDelay {240};
/// Minimum remaining time for a retry; with less, the retry would end at the deadline.
constexpr milliseconds MinRemaining {200};

} // namespace

std::optional<Duration> retryAfter(Duration remaining, Random &random)
{
    if (remaining < MinRemaining) {
        return std::nullopt;
    }
    const milliseconds spread = MaxDelay - MinDelay;
    const Duration delay
        = MinDelay + milliseconds(random.below(static_cast<std::uint64_t>(spread.count())));
    return std::min(delay, remaining / RetryAfterDivisor);
}

} // namespace Coltsfootwell
