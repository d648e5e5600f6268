// Limits the memory used by answers that are still being received from one backend server.
//
// Guards against a server that sends bytes without end: when all incomplete answers together exceed
// the limit, the largest one is aborted, so that the other answers can complete.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Coltsfootwell {

/// \brief Tracks the number of bytes received of each incomplete answer.
class AnswerBudget
{
public:
    /// Maximum number of bytes of all incomplete answers together, and therefore of one answer.
    static constexpr std::size_t MaxBytes = 32ULL << 20;

    /// \brief Records that more bytes of an answer have been received.
    /// \param answer identifier of the answer.
    /// \param bytes total number of bytes received of this answer.
    /// \return the answer to abort if the limit is exceeded.
    std::optional<std::uint64_t> answerGrew(std::uint64_t answer, std::size_t bytes);

    /// \brief Removes an answer that has completed or was aborted.
    void answerEnded(std::uint64_t answer);

private:
    std::map<std::uint64_t, std::size_t> m_lengths;
    std::size_t m_total = 0;
};

} // namespace Coltsfootwell
