#include "decisions/AdaptiveConcurrencyLimit.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Fraction of the slots in use up to which the occupancy is low.
constexpr double LowOccupancy = 0.7;
/// Fraction of the slots in use above which the occupancy is high, and to which calls are limited.
constexpr double HighOccupancy = 0.8;
/// The weight of a new sample in a moving average is at least 1 / AveragingWindow.
constexpr unsigned AveragingWindow = 32;
/// Maximum ratio of a sample to the average; larger samples are clamped.
constexpr int OutlierFactor = 3;

} // namespace

void AdaptiveConcurrencyLimit::Average::add(Duration elapsed)
{
    samples = std::min(samples + 1, AveragingWindow);
    const Duration clamped = samples == 1 ? elapsed : std::min(elapsed, mean * OutlierFactor);
    mean += (clamped - mean) / static_cast<Duration::rep>(samples);
}

void AdaptiveConcurrencyLimit::runEnded(unsigned inUse, unsigned slots, Duration elapsed,
                                        TimePoint now)
{
    const double occupancy = static_cast<double>(inUse) / std::max(1U, slots);
    if (occupancy <= LowOccupancy) {
        m_lowOccupancy.add(elapsed);
    } else if (occupancy > HighOccupancy) {
        m_highOccupancy.add(elapsed);
    }
    if (m_lowOccupancy.samples >= MinSamples && m_highOccupancy.samples >= MinSamples) {
        m_slowsDown = std::chrono::duration<double>(m_highOccupancy.mean)
            >= MinSlowdownFactor * std::chrono::duration<double>(m_lowOccupancy.mean);
        m_decidedAt = now;
        m_highOccupancy = Average();
    }
}

unsigned AdaptiveConcurrencyLimit::limit(unsigned slots, TimePoint now) const
{
    if (!m_slowsDown || now - m_decidedAt >= DecisionLifetime) {
        return slots;
    }
    return std::max(1U, static_cast<unsigned>(slots * HighOccupancy));
}

} // namespace Coltsfootwell
