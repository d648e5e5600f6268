#include "decisions/ProbeSchedule.h"

#include <algorithm>

namespace Coltsfootwell {

TimePoint ProbeSchedule::nextProbe(const ProbeConditions &conditions) const
{
    if (m_perSecond <= 0) {
        return TimePoint::max();
    }
    const auto minInterval
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_perSecond));
    Duration maxAge = IdleProbeInterval;
    if (conditions.cold) {
        maxAge = ColdProbeInterval;
    }
    if (conditions.busy) {
        maxAge = std::min<Duration>(maxAge, BusyProbeInterval);
    }
    if (conditions.slow) {
        maxAge = std::min<Duration>(maxAge, SlowProbeInterval);
    }
    if (conditions.down || conditions.unconfirmed) {
        return m_lastSent + std::max<Duration>(minInterval, DownProbeInterval);
    }
    return std::max(m_lastSent + minInterval, conditions.speedUpdatedAt + maxAge);
}

void ProbeSchedule::probeSent(TimePoint now)
{
    m_lastSent = now;
}

} // namespace Coltsfootwell
