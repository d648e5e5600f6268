#include "decisions/RetryBudget.h"

#include <algorithm>

namespace Coltsfootwell {

void RetryBudget::recordFirstAttempt(std::string_view service, TimePoint now)
{
    add(window(service, now), 1, 0);
}

void RetryBudget::recordCallOfRepeatedRun(std::string_view service, TimePoint now)
{
    add(window(service, now), 0, 1);
}

bool RetryBudget::tryAcquire(std::string_view service, TimePoint now)
{
    Window &serviceWindow = window(service, now);
    // Grants a fraction of a repeat with that probability, so that all daemons together use their
    // combined share.
    const double fraction = std::min(remaining(serviceWindow), 1.0);
    add(serviceWindow, 0, fraction);
    return fraction >= 1 || m_random.uniform() < fraction;
}

double RetryBudget::remaining(std::string_view service, TimePoint now)
{
    return remaining(window(service, now));
}

double RetryBudget::remaining(const Window &window) const
{
    const double allowed = m_limits.ratio * RatioUsed * window.total.firstAttempts
        + m_limits.slack * SlackUsed / static_cast<double>(m_daemons);
    return std::max(allowed - window.total.repeats, 0.0);
}

RetryBudget::Window &RetryBudget::window(std::string_view service, TimePoint now)
{
    const Duration length
        = Duration(m_limits.window) / static_cast<Duration::rep>(BucketsPerWindow);
    const std::int64_t currentBucket
        = now.time_since_epoch() / std::max(length, Duration(std::chrono::milliseconds(1)));
    const auto [it, added] = m_windows.try_emplace(std::string(service));
    Window &serviceWindow = it->second;
    if (added || currentBucket < serviceWindow.currentBucket
        || currentBucket - serviceWindow.currentBucket >= static_cast<std::int64_t>(BucketCount)) {
        serviceWindow = Window();
        serviceWindow.currentBucket = currentBucket;
    }
    while (serviceWindow.currentBucket < currentBucket) {
        ++serviceWindow.currentBucket;
        Counts &oldest
            = serviceWindow
                  .buckets[static_cast<std::size_t>(serviceWindow.currentBucket) % BucketCount];
        serviceWindow.total.firstAttempts -= oldest.firstAttempts;
        serviceWindow.total.repeats -= oldest.repeats;
        oldest = Counts();
    }
    return serviceWindow;
}

void RetryBudget::add(Window &window, double firstAttempts, double repeats)
{
    Counts &bucket = window.buckets[static_cast<std::size_t>(window.currentBucket) % BucketCount];
    bucket.firstAttempts += firstAttempts;
    bucket.repeats += repeats;
    window.total.firstAttempts += firstAttempts;
    window.total.repeats += repeats;
}

} // namespace Coltsfootwell
