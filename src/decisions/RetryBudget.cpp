#include "decisions/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Coltsfootwell {

void RetryBudget::firstAttempt(std::string_view service, TimePoint now)
{
    bucket(service, now).tokens += m_limits.ratio * RatioUsed;
}

bool RetryBudget::take(std::string_view service, TimePoint now)
{
    Bucket &own = bucket(service, now);
    if (own.tokens >= 1) {
        own.tokens -= 1;
        return true;
    }
    // A part of a token allows a repeat with that probability, so that all daemons together spend
    // what they hold together.
    return m_random.unit() < std::exchange(own.tokens, 0);
}

double RetryBudget::left(std::string_view service, TimePoint now)
{
    return bucket(service, now).tokens;
}

RetryBudget::Bucket &RetryBudget::bucket(std::string_view service, TimePoint now)
{
    const auto [it, added] = m_buckets.try_emplace(std::string(service));
    Bucket &own = it->second;
    const double share = m_limits.slack * SlackUsed / static_cast<double>(m_daemons);
    if (added) {
        own.tokens = std::min(1.0, share);
    } else {
        const std::chrono::duration<double> elapsed = now - own.at;
        const double kept = std::exp(-(elapsed / std::chrono::duration<double>(m_limits.window)));
        // Approaches the share, which is what one window allows.
        own.tokens = own.tokens * kept + share * (1 - kept);
    }
    own.at = now;
    return own;
}

} // namespace Coltsfootwell
