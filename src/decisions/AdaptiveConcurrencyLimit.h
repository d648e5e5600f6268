// Learns whether a backend server slows down when nearly all of its slots are in use, and how many
// calls it is best given then.
#pragma once

#include "kernel/Time.h"

namespace Coltsfootwell {

/// \brief Compares the times of runs that started with few and with many others.
///
/// Load pattern: overload of servers that take 1.7 times as long with all slots in use as with four
/// fifths of them. With all in use they answer fewer calls a second, and each later.
class AdaptiveConcurrencyLimit
{
public:
    /// Runs of either kind that are needed for a verdict.
    static constexpr unsigned LeastRuns = 16;
    /// Slow-down from which fewer slots give more answers.
    static constexpr double LeastSlowdown = 1.3;
    /// A verdict is tested again after this time.
    static constexpr std::chrono::seconds Lifetime {20};

    /// \brief A run has ended that made no calls of its own, at usual speed.
    /// \param inUse slots in use when it started, its own included.
    /// \param slots of the server.
    void runEnded(unsigned inUse, unsigned slots, Duration elapsed, TimePoint now);

    /// \param slots of the server.
    /// \return slots that callers' calls get.
    unsigned limit(unsigned slots, TimePoint now) const;

    /// \brief Starts anew for another process.
    void reset() { *this = AdaptiveConcurrencyLimit(); }

private:
    struct Average
    {
        unsigned runs = 0;
        Duration time {};

        void add(Duration elapsed);
    };

    Average m_roomy;
    Average m_crowded;
    TimePoint m_judgedAt {};
    bool m_slowsDown = false;
};

} // namespace Coltsfootwell
