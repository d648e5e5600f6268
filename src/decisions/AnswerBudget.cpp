#include "decisions/AnswerBudget.h"

#include <algorithm>

namespace Coltsfootwell {

std::optional<std::uint64_t> AnswerBudget::answerGrew(std::uint64_t answer, std::size_t bytes)
{
    std::size_t &length = m_lengths[answer];
    m_total += bytes - length;
    length = bytes;
    if (m_total <= MaxBytes) {
        return std::nullopt;
    }
    const auto largest
        = std::ranges::max_element(m_lengths, {}, [](const auto &entry) { return entry.second; });
    return largest->first;
}

void AnswerBudget::answerEnded(std::uint64_t answer)
{
    if (const auto it = m_lengths.find(answer); it != m_lengths.end()) {
        m_total -= it->second;
        m_lengths.erase(it);
    }
}

} // namespace Coltsfootwell
