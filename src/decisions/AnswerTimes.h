// Moving 95th percentile of a service's answer times, after which hedges are sent.
#pragma once

#include "kernel/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Coltsfootwell {

/// \brief The last answer times of one service.
class AnswerTimes
{
public:
    /// \param elapsed time from sending an attempt to the head of its answer.
    void add(Duration elapsed);

    /// \return the 95th percentile, or nothing while there are too few answers to tell.
    std::optional<Duration> p95() const { return m_p95; }

private:
    static constexpr std::size_t Kept = 128;
    static constexpr std::size_t Needed = 32;
    /// The percentile is computed anew after this many answers.
    static constexpr std::size_t Refresh = 16;

    std::array<Duration, Kept> m_times {};
    std::size_t m_count = 0;
    std::optional<Duration> m_p95;
};

} // namespace Coltsfootwell
