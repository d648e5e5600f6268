#include "decisions/RetryBudget.h"

#include <algorithm>

namespace Coltsfootwell {

void RetryBudget::firstAttempt(std::string_view service, TimePoint now)
{
    Bucket &own = bucket(service, now);
    own.tokens = std::min(capacity(), own.tokens + m_limits.ratio * RatioUsed);
}

bool RetryBudget::take(std::string_view service, TimePoint now)
{
    Bucket &own = bucket(service, now);
    if (own.tokens < 1.0) {
        return false;
    }
    own.tokens -= 1.0;
    return true;
}

double RetryBudget::left(std::string_view service, TimePoint now)
{
    return bucket(service, now).tokens;
}

RetryBudget::Bucket &RetryBudget::bucket(std::string_view service, TimePoint now)
{
    const auto [it, added] = m_buckets.try_emplace(std::string(service));
    Bucket &own = it->second;
    if (added) {
        own.tokens = std::max(1.0, capacity() / 2);
    } else {
        const std::chrono::duration<double> elapsed = now - own.at;
        const std::chrono::duration<double> window = m_limits.window;
        const double share = m_limits.slack * SlackUsed / static_cast<double>(m_daemons);
        own.tokens = std::min(capacity(), own.tokens + share * (elapsed / window));
    }
    own.at = now;
    return own;
}

double RetryBudget::capacity() const
{
    // What is saved up in one window may be spent at once in the next, so it counts half.
    return std::max(1.0, m_limits.slack * SlackUsed / static_cast<double>(m_daemons) / 2 + 1);
}

} // namespace Coltsfootwell
