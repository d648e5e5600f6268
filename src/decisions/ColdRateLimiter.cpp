#include "decisions/ColdRateLimiter.h"

#include <algorithm>

namespace Coltsfootwell {

void ColdRateLimiter::callStarted(TimePoint now)
{
    forget(now);
    m_starts.push_back(now);
}

bool ColdRateLimiter::mayStart(TimePoint now)
{
    return !nextStart(now);
}

std::optional<TimePoint> ColdRateLimiter::nextStart(TimePoint now)
{
    forget(now);
    const std::size_t most = limit();
    if (!isCold(now) || most == 0 || m_starts.size() < most) {
        return std::nullopt;
    }
    return std::min(m_until, m_starts[m_starts.size() - most] + Window);
}

void ColdRateLimiter::forget(TimePoint now)
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
