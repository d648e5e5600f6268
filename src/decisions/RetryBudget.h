// Bounds retries and hedges of all daemons together, so that an outage does not multiply the load.
#pragma once

#include "decisions/RetryStrategy.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Bounds that hold for all daemons together, for each service and in any window.
struct RetryLimits
{
    /// Share of first attempts that may be repeated.
    double ratio = 0.1;
    /// Repeats allowed besides, in one window.
    double slack = 10;
    std::chrono::milliseconds window {10'000};
};

/// \brief One daemon's part of the budget: tokens for each service, which expire with the window.
///
/// Load pattern: a service whose servers all fail; every daemon retries at the same moment, and the
/// calls that a repeated run makes count as repeats again.
class RetryBudget final : public RetryStrategy
{
public:
    /// Part of the allowed ratio that is spent; the rest covers calls that repeated runs make.
    static constexpr double RatioUsed = 0.4;
    /// Part of the allowed slack that is spent. What was saved up in one window may be spent in the
    /// next, so that twice this part can come together.
    static constexpr double SlackUsed = 0.4;

    /// \param random decides on parts of a repeat: the share of one of many daemons may be less
    /// than one repeat in a window. Outlives the object.
    /// \param limits bounds of all daemons together.
    explicit RetryBudget(Random &random, RetryLimits limits = {})
        : m_random(random), m_limits(limits)
    {
    }

    /// \param limits replace the earlier ones.
    void limitsChanged(RetryLimits limits) { m_limits = limits; }

    /// \param daemons live daemons, this one included.
    void daemonsChanged(std::size_t daemons) { m_daemons = daemons == 0 ? 1 : daemons; }

    void firstAttempt(std::string_view service, TimePoint now) override;

    bool take(std::string_view service, TimePoint now) override;

    /// \return tokens that are left for a service.
    double left(std::string_view service, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint at {};
    };

    Bucket &bucket(std::string_view service, TimePoint now);
    Random &m_random;
    RetryLimits m_limits;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace Coltsfootwell
