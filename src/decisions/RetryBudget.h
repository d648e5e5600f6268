// Limits the retries and hedges of all daemons together, so that an outage does not multiply load.
#pragma once

#include "decisions/RetryStrategy.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Limits for all daemons together, applied to each service in any window.
struct RetryLimits
{
    /// Maximum ratio of repeats to first attempts.
    double ratio = 0.1;
    /// Number of additional repeats allowed per window.
    double slack = 10;
    std::chrono::milliseconds window {10'000};
};

/// \brief This daemon's share of the retry budget, with sliding-window counts for each service.
///
/// Guards against a retry storm when all servers of a service fail: every daemon retries at the
/// same moment, and the calls made by repeated runs count as repeats as well.
class RetryBudget final : public RetryStrategy
{
public:
    /// Fraction of the ratio that is used; the rest covers calls made by repeated runs.
    static constexpr double RatioUsed = 0.5;
    /// Fraction of the slack that is used.
    static constexpr double SlackUsed = 0.4;

    /// \param random grants fractions of a repeat with the corresponding probability, because the
    /// share of one daemon may be less than one repeat per window. Must outlive the object.
    /// \param limits limits for all daemons together.
    explicit RetryBudget(Random &random, RetryLimits limits = {})
        : m_random(random), m_limits(limits)
    {
    }

    /// \param limits replace the current limits.
    void limitsChanged(RetryLimits limits) { m_limits = limits; }

    /// \param daemons number of live daemons, including this one.
    void daemonCountChanged(std::size_t daemons) { m_daemons = daemons == 0 ? 1 : daemons; }

    void recordFirstAttempt(std::string_view service, TimePoint now) override;

    void recordCallOfRepeatedRun(std::string_view service, TimePoint now) override;

    bool tryAcquire(std::string_view service, TimePoint now) override;

    /// \return number of repeats of a service that this daemon may still make in the current
    /// window; a fraction is granted with that probability.
    double remaining(std::string_view service, TimePoint now);

private:
    /// Buckets cover one full window and the current bucket, so that no repeat expires early.
    static constexpr std::size_t BucketsPerWindow = 20;
    static constexpr std::size_t BucketCount = BucketsPerWindow + 1;

    struct Counts
    {
        double firstAttempts = 0;
        double repeats = 0;
    };

    struct Window
    {
        std::array<Counts, BucketCount> buckets {};
        Counts total;
        std::int64_t currentBucket = 0;
    };

    Window &window(std::string_view service, TimePoint now);
    double remaining(const Window &window) const;
    static void add(Window &window, double firstAttempts, double repeats);

    Random &m_random;
    RetryLimits m_limits;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, Window> m_windows;
};

} // namespace Coltsfootwell
