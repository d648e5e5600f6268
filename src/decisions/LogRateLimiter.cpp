#include "decisions/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

bool LogRateLimiter::allows(std::string_view event, bool important, TimePoint now)
{
    const double perSecond = important ? ImportantLinesPerSecond : RoutineLinesPerSecond;
    const auto [it, added] = m_buckets.try_emplace({std::string(event), important});
    Bucket &bucket = it->second;
    if (added) {
        bucket.tokens = perSecond * BurstSeconds;
    } else {
        const double seconds = std::chrono::duration<double>(now - bucket.lastRefill).count();
        bucket.tokens = std::min(perSecond * BurstSeconds, bucket.tokens + perSecond * seconds);
    }
    bucket.lastRefill = now;
    if (bucket.tokens < 1) {
        ++bucket.omitted;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::vector<OmittedLines> LogRateLimiter::takeOmitted()
{
    std::vector<OmittedLines> omitted;
    for (auto &[key, bucket] : m_buckets) {
        if (const std::uint64_t lines = std::exchange(bucket.omitted, 0); lines > 0) {
            omitted.push_back({key.first, key.second, lines});
        }
    }
    return omitted;
}

} // namespace Coltsfootwell
