// Bounds the memory of answers that are still arriving from one server.
//
// Answers the failure of a server that sends bytes without end: when all answers together take more
// than the bound, the longest one is given up, so that whole answers beside it arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Coltsfootwell {

/// \brief Answers under way and their lengths.
class AnswerBudget
{
public:
    /// Bound of all answers together, and with that of one.
    static constexpr std::size_t MaxBytes = 32ULL << 20;

    /// \brief An answer has grown.
    /// \param answer number of the answer.
    /// \param bytes its length so far.
    /// \return the answer that is to be given up, if any.
    std::optional<std::uint64_t> answerGrew(std::uint64_t answer, std::size_t bytes);

    /// \brief An answer has ended.
    void answerEnded(std::uint64_t answer);

private:
    std::map<std::uint64_t, std::size_t> m_lengths;
    std::size_t m_total = 0;
};

} // namespace Coltsfootwell
