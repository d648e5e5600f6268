#include "decisions/RetryBudget.h"

#include <algorithm>

namespace Coltsfootwell {

void RetryBudget::firstAttempt(std::string_view service, std::string_view tenant)
{
    double &tokens = bucket(service, tenant);
    tokens = std::min(Capacity, tokens + m_share);
}

bool RetryBudget::take(std::string_view service, std::string_view tenant)
{
    // Sums of tenths fall short of whole numbers by rounding.
    constexpr double Rounding = 1e-9;
    double &tokens = bucket(service, tenant);
    if (tokens + Rounding < 1.0) {
        return false;
    }
    tokens = std::max(0.0, tokens - 1.0);
    return true;
}

double &RetryBudget::bucket(std::string_view service, std::string_view tenant)
{
    std::string name(service);
    name += '\0';
    const std::string shared = name;
    name += tenant;
    if (const auto it = m_buckets.find(name); it != m_buckets.end()) {
        return it->second;
    }
    const bool room = m_buckets.size() < MaxBuckets || makeRoom();
    return m_buckets.try_emplace(room ? name : shared, InitialTokens).first->second;
}

bool RetryBudget::makeRoom()
{
    // Only a bucket that would gain nothing by starting anew may be forgotten.
    const auto it = std::ranges::find_if(
        m_buckets, [](const auto &entry) { return entry.second >= InitialTokens; });
    if (it == m_buckets.end()) {
        return false;
    }
    m_buckets.erase(it);
    return true;
}

} // namespace Coltsfootwell
