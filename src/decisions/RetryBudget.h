// Bounds retries and hedges to a share of the first attempts, so that an outage does not multiply
// the load.
#pragma once

#include "decisions/RetryStrategy.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Token buckets, one for each service and tenant.
class RetryBudget final : public RetryStrategy
{
public:
    static constexpr double Capacity = 10.0;
    static constexpr double InitialTokens = 3.0;
    /// Tenants beyond this number share one bucket for each service.
    static constexpr std::size_t MaxBuckets = 1024;

    /// \param share tokens gained by each first attempt, from 0 to 1.
    explicit RetryBudget(double share = 0.1) : m_share(share) { }

    /// \param share see the constructor.
    void shareChanged(double share) { m_share = share; }

    void firstAttempt(std::string_view service, std::string_view tenant) override;

    /// \brief Takes a token for a retry or a hedge.
    /// \return false when there is none.
    bool take(std::string_view service, std::string_view tenant) override;

    /// \return number of buckets held.
    std::size_t size() const { return m_buckets.size(); }

private:
    double &bucket(std::string_view service, std::string_view tenant);
    bool makeRoom();

    double m_share;
    std::unordered_map<std::string, double> m_buckets;
};

} // namespace Coltsfootwell
