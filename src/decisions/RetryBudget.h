// Bounds retries and hedges of all daemons together, so that an outage does not multiply the load.
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

/// \brief Bounds that hold for all daemons together, for each service and in any window.
struct RetryLimits
{
    /// Share of first attempts that may be repeated.
    double ratio = 0.1;
    /// Repeats allowed besides, in one window.
    double slack = 10;
    std::chrono::milliseconds window {10'000};
};

/// \brief One daemon's part of the budget: counts of each service over a sliding window.
///
/// Load pattern: a service whose servers all fail; every daemon retries at the same moment, and the
/// calls that a repeated run makes count as repeats again.
class RetryBudget final : public RetryStrategy
{
public:
    /// Part of the allowed ratio that is spent; the rest covers calls that repeated runs make.
    static constexpr double RatioUsed = 0.5;
    /// Part of the allowed slack that is spent.
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
    void daemonCountChanged(std::size_t daemons) { m_daemons = daemons == 0 ? 1 : daemons; }

    void recordFirstAttempt(std::string_view service, TimePoint now) override;

    void recordCallOfRepeatedRun(std::string_view service, TimePoint now) override;

    bool tryAcquire(std::string_view service, TimePoint now) override;

private:
    /// Slots cover one window and the slot in progress, so that no repeat is forgotten too early.
    static constexpr std::size_t SlotsPerWindow = 20;
    static constexpr std::size_t Slots = SlotsPerWindow + 1;

    struct Counts
    {
        double firsts = 0;
        double repeats = 0;
    };

    struct Window
    {
        std::array<Counts, Slots> slots {};
        Counts total;
        std::int64_t current = 0;
    };

    Window &window(std::string_view service, TimePoint now);
    static void add(Window &window, double firsts, double repeats);

    Random &m_random;
    RetryLimits m_limits;
    std::size_t m_daemons = 1;
    std::unordered_map<std::string, Window> m_windows;
};

} // namespace Coltsfootwell
