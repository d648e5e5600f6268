#include "decisions/AnswerBudget.h"

#include "decisions/BodyBudget.h"

#include <algorithm>
#include <numeric>

namespace Coltsfootwell {

AnswerSize answerSize(std::size_t bytes)
{
    return bytes <= BodyBudget::MaxFreeBytes ? AnswerSize::Short : AnswerSize::Long;
}

bool AnswerBudget::tryGrow(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes)
{
    if (answerSize(bytes) == AnswerSize::Short) {
        return tryReserveShort(answer, std::min(maxBytes, BodyBudget::MaxFreeBytes));
    }
    if (!tryGrowLong(answer, bytes, maxBytes)) {
        return false;
    }
    std::erase_if(m_shortAnswers, [answer](const Answer &other) { return other.id == answer; });
    return true;
}

bool AnswerBudget::tryReserveShort(std::uint64_t answer, std::size_t bytes)
{
    if (bytes == 0 || std::ranges::find(m_shortAnswers, answer, &Answer::id) != m_shortAnswers.end()
        || std::ranges::find(m_longAnswers, answer, &Answer::id) != m_longAnswers.end()) {
        return true;
    }
    const std::size_t held = shortHeld();
    if (held > 0 && held + bytes > m_limits.shortBytes) {
        return false;
    }
    m_shortAnswers.push_back({answer, bytes, bytes});
    return true;
}

bool AnswerBudget::tryGrowLong(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes)
{
    auto it = std::ranges::find(m_longAnswers, answer, &Answer::id);
    if (it == m_longAnswers.end()) {
        it = m_longAnswers.insert(it, {answer, 0, maxBytes});
    }
    if (m_longAnswers.size() == 1 && m_completeLongBytes == 0) {
        it->reserved = bytes;
        return true;
    }
    const auto add = [](std::size_t sum, const Answer &other) { return sum + other.reserved; };
    std::size_t reservedFromHere = std::accumulate(it + 1, m_longAnswers.end(), bytes, add);
    for (auto older = it; older != m_longAnswers.begin();) {
        --older;
        if (older->maxBytes + reservedFromHere > m_limits.incompleteLongBytes) {
            return false;
        }
        reservedFromHere += older->reserved;
    }
    if (m_completeLongBytes + reservedFromHere > m_limits.longBytes) {
        return false;
    }
    it->reserved = bytes;
    return true;
}

void AnswerBudget::answerEnded(std::uint64_t answer)
{
    const auto isAnswer = [answer](const Answer &other) { return other.id == answer; };
    std::erase_if(m_longAnswers, isAnswer);
    std::erase_if(m_shortAnswers, isAnswer);
}

void AnswerBudget::answerCompleted(std::uint64_t answer, std::size_t bytes)
{
    answerEnded(answer);
    (answerSize(bytes) == AnswerSize::Short ? m_completeShortBytes : m_completeLongBytes) += bytes;
}

void AnswerBudget::release(std::size_t bytes)
{
    (answerSize(bytes) == AnswerSize::Short ? m_completeShortBytes : m_completeLongBytes) -= bytes;
}

std::size_t AnswerBudget::reserved() const
{
    return std::accumulate(
        m_longAnswers.begin(), m_longAnswers.end(), std::size_t(0),
        [](std::size_t sum, const Answer &answer) { return sum + answer.reserved; });
}

std::size_t AnswerBudget::shortHeld() const
{
    return std::accumulate(
        m_shortAnswers.begin(), m_shortAnswers.end(), m_completeShortBytes,
        [](std::size_t sum, const Answer &answer) { return sum + answer.reserved; });
}

} // namespace Coltsfootwell
