#include "decisions/Admission.h"

#include <algorithm>

namespace Coltsfootwell {

void Admission::rulesChanged(const ServiceRules &rules)
{
    m_rules = rules;
}

void Admission::announced(unsigned slots, TimePoint)
{
    m_slots = slots;
    m_state = BackendState::Cold;
    m_limit = std::min(m_rules.coldStart.initialSlots, slots);
    m_goodInRow = 0;
}

void Admission::withdrawn(BackendState state)
{
    m_state = state;
    m_limit = 0;
}

std::optional<Reason> Admission::admit(TimePoint)
{
    if (m_state == BackendState::Absent || m_state == BackendState::Gone) {
        return Reason::NoBackendServer;
    }
    if (m_state == BackendState::Draining) {
        return Reason::Draining;
    }
    if (m_inUse >= m_limit) {
        return m_state == BackendState::Cold ? Reason::Cold : Reason::Overloaded;
    }
    ++m_inUse;
    return std::nullopt;
}

void Admission::finished(bool good, Duration, TimePoint)
{
    --m_inUse;
    m_goodInRow = good ? m_goodInRow + 1 : 0;
    if (m_state == BackendState::Cold && m_goodInRow >= m_rules.coldStart.growAfterAnswers) {
        m_goodInRow = 0;
        m_limit = std::min(m_limit + 1, m_slots);
        m_state = m_limit == m_slots ? BackendState::Warm : BackendState::Cold;
    }
}

LoadReport Admission::report() const
{
    return {m_inUse, 0, m_limit, m_state};
}

} // namespace Coltsfootwell
