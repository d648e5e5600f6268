#include "decisions/ProbeSchedule.h"

#include <algorithm>

namespace Coltsfootwell {

TimePoint ProbeSchedule::nextProbe(const ProbeConditions &need) const
{
    if (m_perSecond <= 0) {
        return TimePoint::max();
    }
    const auto leastGap
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_perSecond));
    Duration age = IdleAge;
    if (need.cold) {
        age = ColdAge;
    }
    if (need.busy) {
        age = std::min<Duration>(age, BusyAge);
    }
    if (need.slow) {
        age = std::min<Duration>(age, SlowAge);
    }
    if (need.down) {
        return m_lastSent + std::max<Duration>(leastGap, DownAge);
    }
    return std::max(m_lastSent + leastGap, need.speedUpdatedAt + age);
}

void ProbeSchedule::probeSent(TimePoint now)
{
    m_lastSent = now;
}

} // namespace Coltsfootwell
