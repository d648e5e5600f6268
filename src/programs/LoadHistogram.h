// Latencies in buckets of constant relative width.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Counts latencies from 1 us to about 100 s with an error of at most 2%.
class LoadHistogram
{
public:
    LoadHistogram();

    /// \param latency counted once; negative values count as zero.
    void add(std::chrono::nanoseconds latency);

    /// \param share from 0 to 1, such as 0.99.
    /// \return upper bound of the bucket that holds the share; never above max(); zero when empty.
    std::chrono::nanoseconds quantile(double share) const;

    std::chrono::nanoseconds max() const { return m_max; }
    std::uint64_t count() const { return m_count; }

    /// \brief One bucket that is not empty.
    struct Bucket
    {
        std::chrono::nanoseconds from;
        std::chrono::nanoseconds to;
        std::uint64_t count;
    };

    /// \return buckets that are not empty, by rising latency.
    std::vector<Bucket> buckets() const;

private:
    std::vector<std::uint64_t> m_counts;
    std::uint64_t m_count = 0;
    std::chrono::nanoseconds m_max {0};
};

} // namespace Coltsfootwell
