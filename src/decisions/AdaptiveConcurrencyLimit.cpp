#include "decisions/AdaptiveConcurrencyLimit.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Shares of the slots in use up to which a server has room, and above which it is crowded.
constexpr double RoomyShare = 0.7;
constexpr double CrowdedShare = 0.8;
/// Weight of one run in an average is at least 1 / AverageSpan.
constexpr unsigned AverageSpan = 32;
/// A run that took longer than this many times the average counts as that long.
constexpr int OutlierFactor = 3;

} // namespace

void AdaptiveConcurrencyLimit::Average::add(Duration elapsed)
{
    runs = std::min(runs + 1, AverageSpan);
    const Duration counted = runs == 1 ? elapsed : std::min(elapsed, time * OutlierFactor);
    time += (counted - time) / static_cast<Duration::rep>(runs);
}

void AdaptiveConcurrencyLimit::runEnded(unsigned inUse, unsigned slots, Duration elapsed,
                                        TimePoint now)
{
    const double share = static_cast<double>(inUse) / std::max(1U, slots);
    if (share <= RoomyShare) {
        m_roomy.add(elapsed);
    } else if (share > CrowdedShare) {
        m_crowded.add(elapsed);
    }
    if (m_roomy.runs >= LeastRuns && m_crowded.runs >= LeastRuns) {
        m_slowsDown = std::chrono::duration<double>(m_crowded.time)
            >= LeastSlowdown * std::chrono::duration<double>(m_roomy.time);
        m_judgedAt = now;
        m_crowded = Average();
    }
}

unsigned AdaptiveConcurrencyLimit::limit(unsigned slots, TimePoint now) const
{
    if (!m_slowsDown || now - m_judgedAt >= Lifetime) {
        return slots;
    }
    return std::max(1U, static_cast<unsigned>(slots * CrowdedShare));
}

} // namespace Coltsfootwell
