#include "decisions/ProbePlan.h"

#include <algorithm>

namespace Coltsfootwell {

TimePoint ProbePlan::next(const ProbeNeed &need) const
{
    constexpr Duration LeastGap = std::chrono::milliseconds(1000) / MaxPerSecond;
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
        return m_lastSent + DownAge;
    }
    return std::max(m_lastSent + LeastGap, need.speedKnownAt + age);
}

void ProbePlan::sent(TimePoint now)
{
    m_lastSent = now;
}

} // namespace Coltsfootwell
