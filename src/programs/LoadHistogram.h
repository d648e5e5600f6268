// Latency histogram with buckets of constant relative width.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Histogram of latencies from 1 us to about 100 s with a relative error of at most 2%.
class LoadHistogram
{
public:
    LoadHistogram();

    /// \param latency latency of one call; negative values count as zero.
    void add(std::chrono::nanoseconds latency);

    /// \param rank quantile to estimate, from 0 to 1, such as 0.99.
    /// \return upper bound of the bucket that contains the quantile, at most max(); zero if the
    /// histogram is empty.
    std::chrono::nanoseconds quantile(double rank) const;

    std::chrono::nanoseconds max() const { return m_max; }
    std::uint64_t count() const { return m_count; }

    struct Bucket
    {
        std::chrono::nanoseconds from;
        std::chrono::nanoseconds to;
        std::uint64_t count;
    };

    /// \return the non-empty buckets in ascending order of latency.
    std::vector<Bucket> buckets() const;

private:
    std::vector<std::uint64_t> m_counts;
    std::uint64_t m_count = 0;
    std::chrono::nanoseconds m_max {0};
};

} // namespace Coltsfootwell
