#include "decisions/RetryAfter.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Slow spells and full queues last for some hundred milliseconds.
constexpr milliseconds ShortestWait {60};
constexpr milliseconds LongestWait {240};
/// With less than this left a second try would end at the deadline.
constexpr milliseconds LeastLeft {200};

} // namespace

std::optional<Duration> retryAfter(Duration left, Random &random)
{
    if (left < LeastLeft) {
        return std::nullopt;
    }
    const milliseconds spread = LongestWait - ShortestWait;
    const Duration wait
        = ShortestWait + milliseconds(random.below(static_cast<std::uint64_t>(spread.count())));
    return std::min(wait, left / RetryAfterShare);
}

} // namespace Coltsfootwell
