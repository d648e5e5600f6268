#include "decisions/RegionBudget.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RegionBudget::limitsChanged(std::uint64_t linkBytesPerSecond, unsigned senders, TimePoint now)
{
    refill(now);
    m_rate = static_cast<double>(linkBytesPerSecond) * LinkShare / std::max(1U, senders);
    const double capacity = m_rate * seconds(Burst);
    m_tokens = m_started ? std::min(m_tokens, capacity) : capacity;
    m_started = true;
}

bool RegionBudget::allows(TimePoint now)
{
    refill(now);
    return m_tokens > 0;
}

void RegionBudget::spend(std::uint64_t bytes, TimePoint now)
{
    refill(now);
    m_tokens -= static_cast<double>(bytes);
}

void RegionBudget::refill(TimePoint now)
{
    m_tokens = std::min(m_tokens + m_rate * seconds(now - m_refilled), m_rate * seconds(Burst));
    m_refilled = now;
}

} // namespace Coltsfootwell
