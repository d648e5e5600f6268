// Simulates a link of limited bandwidth under a manual clock.
#pragma once

#include "kernel/Time.h"

#include <algorithm>
#include <cstdint>

namespace Coltsfootwell::Testing {

/// \brief A link that transfers answers one after another.
class BandwidthLimitedLink
{
public:
    /// \param bytesPerSecond bandwidth of the link that is available for configurations.
    explicit BandwidthLimitedLink(double bytesPerSecond) : m_bytesPerSecond(bytesPerSecond) { }

    /// \brief Enqueues an answer.
    /// \return time at which its last byte has been transferred.
    TimePoint send(TimePoint now, std::size_t bytes)
    {
        const std::chrono::duration<double> duration(static_cast<double>(bytes) / m_bytesPerSecond);
        m_busyUntil = std::max(m_busyUntil, now) + std::chrono::duration_cast<Duration>(duration);
        m_bytes += bytes;
        return m_busyUntil;
    }

    /// \return total number of bytes sent.
    std::uint64_t bytes() const { return m_bytes; }

private:
    double m_bytesPerSecond;
    TimePoint m_busyUntil {};
    std::uint64_t m_bytes = 0;
};

} // namespace Coltsfootwell::Testing
