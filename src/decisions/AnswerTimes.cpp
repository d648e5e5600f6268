#include "decisions/AnswerTimes.h"

#include <algorithm>

namespace Coltsfootwell {

void AnswerTimes::add(Duration elapsed)
{
    constexpr std::size_t Percent = 95;
    m_times[m_count++ % Kept] = elapsed;
    if (m_count < Needed || m_count % Refresh != 0) {
        return;
    }
    const std::size_t n = std::min(m_count, Kept);
    std::array<Duration, Kept> sorted = m_times;
    const auto place = static_cast<std::ptrdiff_t>(n * Percent / 100);
    std::nth_element(sorted.begin(), sorted.begin() + place,
                     sorted.begin() + static_cast<std::ptrdiff_t>(n));
    m_p95 = sorted[static_cast<std::size_t>(place)];
}

} // namespace Coltsfootwell
