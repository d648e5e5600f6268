#include "programs/LoadHistogram.h"

#include <algorithm>
#include <cmath>

namespace Coltsfootwell {

namespace {

/// Upper bound of the first bucket in nanoseconds.
constexpr double FirstBoundNs = 1000;
/// Ratio of the bounds of a bucket; an estimated quantile is at most this factor too high.
constexpr double BoundRatio = 1.02;
/// The last bucket ends at 1 us * 1.02^931, about 101 s.
constexpr std::size_t BucketCount = 932;

std::size_t bucketOf(std::chrono::nanoseconds latency)
{
    const double ns = static_cast<double>(latency.count());
    if (ns <= FirstBoundNs) {
        return 0;
    }
    const double index = std::ceil(std::log(ns / FirstBoundNs) / std::log(BoundRatio));
    return std::min(static_cast<std::size_t>(index), BucketCount - 1);
}

std::chrono::nanoseconds upperBoundOf(std::size_t bucket)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(
        std::ceil(FirstBoundNs * std::pow(BoundRatio, static_cast<double>(bucket)))));
}

} // namespace

LoadHistogram::LoadHistogram() : m_counts(BucketCount)
{
}

void LoadHistogram::add(std::chrono::nanoseconds latency)
{
    ++m_counts[bucketOf(latency)];
    ++m_count;
    m_max = std::max(m_max, latency);
}

std::chrono::nanoseconds LoadHistogram::quantile(double rank) const
{
    const auto targetCount
        = static_cast<std::uint64_t>(std::max(1.0, std::ceil(rank * static_cast<double>(m_count))));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        cumulativeCount += m_counts[i];
        if (cumulativeCount >= targetCount) {
            return i + 1 == m_counts.size() ? m_max : std::min(upperBoundOf(i), m_max);
        }
    }
    return m_max;
}

std::vector<LoadHistogram::Bucket> LoadHistogram::buckets() const
{
    std::vector<Bucket> result;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        if (m_counts[i] > 0) {
            result.push_back({i == 0 ? std::chrono::nanoseconds(0) : upperBoundOf(i - 1),
                              upperBoundOf(i), m_counts[i]});
        }
    }
    return result;
}

} // namespace Coltsfootwell
