// Detects whether a backend server slows down when nearly all of its slots are in use, and limits
// the number of concurrent calls if it does.
#pragma once

#include "kernel/Time.h"

namespace Coltsfootwell {

/// \brief Compares run times at low and at high occupancy of the server.
///
/// Some servers take 1.7 times as long with all slots in use as with four fifths of them. With all
/// slots in use they then have a lower throughput and a higher latency, in particular in overload.
class AdaptiveConcurrencyLimit
{
public:
    /// Number of runs at low and at high occupancy that are required for a decision.
    static constexpr unsigned MinSamples = 16;
    /// Minimum ratio of the run times at high and low occupancy at which a limit raises throughput.
    static constexpr double MinSlowdownFactor = 1.3;
    /// Time after which the limit is lifted, so that high occupancy can be sampled again.
    static constexpr std::chrono::seconds DecisionLifetime {20};

    /// \brief Records the time of a run at normal speed that made no nested calls.
    /// \param inUse number of slots in use when the run started, including its own.
    /// \param slots number of slots of the server.
    void runEnded(unsigned inUse, unsigned slots, Duration elapsed, TimePoint now);

    /// \param slots number of slots of the server.
    /// \return maximum number of slots for calls of callers.
    unsigned limit(unsigned slots, TimePoint now) const;

    /// \brief Discards all samples; called when another server process takes over.
    void reset() { *this = AdaptiveConcurrencyLimit(); }

private:
    struct Average
    {
        unsigned samples = 0;
        Duration mean {};

        void add(Duration elapsed);
    };

    Average m_lowOccupancy;
    Average m_highOccupancy;
    TimePoint m_decidedAt {};
    bool m_slowsDown = false;
};

} // namespace Coltsfootwell
