#include "decisions/ProbePlan.h"

#include <algorithm>

namespace Coltsfootwell {

TimePoint ProbePlan::next(const ProbeNeed &need) const
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
    return std::max(m_lastSent + leastGap, need.speedKnownAt + age);
}

void ProbePlan::sent(TimePoint now)
{
    m_lastSent = now;
}

} // namespace Coltsfootwell
