#include "decisions/ColdRateLimiter.h"

#include <algorithm>

namespace Coltsfootwell {

void ColdRateLimiter::callStarted(TimePoint now)
{
    evictExpired(now);
    m_starts.push_back(now);
}

bool ColdRateLimiter::mayStart(TimePoint now)
{
    return !nextStart(now);
}

std::optional<TimePoint> ColdRateLimiter::nextStart(TimePoint now)
{
    evictExpired(now);
    const std::size_t maxStarts = limit();
    if (!isCold(now) || maxStarts == 0 || m_starts.size() < maxStarts) {
        return std::nullopt;
    }
    return std::min(m_coldUntil, m_starts[m_starts.size() - maxStarts] + Window);
}

void ColdRateLimiter::evictExpired(TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() >= Window) {
        m_starts.pop_front();
    }
}

std::size_t ColdRateLimiter::limit() const
{
    return m_callsPerSecond <= 0
        ? 0
        : std::max<std::size_t>(1,
                                static_cast<std::size_t>(m_callsPerSecond + SlackUsed * m_slack));
}

} // namespace Coltsfootwell
