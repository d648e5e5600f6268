#include "decisions/RepeatedRuns.h"

#include <utility>

namespace Coltsfootwell {

void RepeatedRuns::add(std::string requestId, TimePoint now)
{
    evictExpired(now);
    if (m_entries.size() >= MaxRuns) {
        return;
    }
    ++m_counts[requestId];
    m_entries.push_back({std::move(requestId), now});
}

bool RepeatedRuns::contains(std::string_view requestId, TimePoint now)
{
    evictExpired(now);
    return !requestId.empty() && m_counts.contains(std::string(requestId));
}

void RepeatedRuns::evictExpired(TimePoint now)
{
    while (!m_entries.empty() && now - m_entries.front().addedAt > RetentionTime) {
        if (const auto it = m_counts.find(m_entries.front().requestId); --it->second == 0) {
            m_counts.erase(it);
        }
        m_entries.pop_front();
    }
}

} // namespace Coltsfootwell
