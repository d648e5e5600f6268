#include "decisions/ProbeBudget.h"

#include <algorithm>

namespace Coltsfootwell {

void ProbeBudget::limitsChanged(double probesPerSecond, unsigned slots)
{
    m_probesPerSecond = probesPerSecond;
    m_slots = slots;
}

void ProbeBudget::answered(TimePoint now)
{
    m_fresh = now + AnswerLifetime;
}

bool ProbeBudget::wanted(TimePoint now)
{
    if (now < m_fresh) {
        ++m_counts.unneeded;
        return false;
    }
    if (m_underWay || now < m_next || m_slots == 0 || m_probesPerSecond <= 0) {
        ++m_counts.overBudget;
        return false;
    }
    m_underWay = true;
    m_began = now;
    ++m_counts.sent;
    return true;
}

void ProbeBudget::probeEnded(TimePoint now)
{
    const Duration took = now - m_began;
    m_underWay = false;
    m_counts.slotTime += took;
    if (m_slots == 0 || m_probesPerSecond <= 0) {
        // The limits were set to nothing meanwhile; wanted() refuses until they change.
        return;
    }
    const std::chrono::duration<double> byRate(1 / m_probesPerSecond);
    const std::chrono::duration<double> byShare
        = std::chrono::duration<double>(took) / (MaxSlotShare * m_slots);
    m_next = m_began + std::chrono::duration_cast<Duration>(std::max(byRate, byShare));
}

} // namespace Coltsfootwell
