// Limits the memory used by answers from one backend server, while they are received and until they
// have been passed on.
//
// Guards against a server that sends bytes without end, and against several long answers at once:
// an answer for which there is no memory waits until others have ended, so that none is given up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Decides which of the incomplete answers may be read further.
///
/// An answer is admitted only if each older one can still grow to its maximum length beside it. The
/// oldest answer can therefore always go on unless it waits for complete ones to be passed on, and
/// all incomplete answers together never exceed MaxTotalBytes.
class AnswerBudget
{
public:
    /// Maximum number of bytes of one answer.
    static constexpr std::size_t MaxBytes = 32ULL << 20;
    /// Maximum number of bytes of all answers that are longer than BodyBudget::MaxFreeBytes. Beside
    /// an answer of unknown length, which may grow to MaxBytes, newer ones have the rest.
    static constexpr std::size_t MaxTotalBytes = MaxBytes + (8ULL << 20);
    /// Maximum number of bytes of all answers, also complete ones that a slow caller or link has
    /// not taken yet. Two answers of MaxBytes fit, so that one slow caller does not hold up others.
    static constexpr std::size_t MaxHeldBytes = 2 * MaxBytes;

    /// \brief Reserves memory for an answer. One of up to BodyBudget::MaxFreeBytes needs none.
    /// \param answer identifier of the answer.
    /// \param bytes number of bytes that the answer needs now: its length if that is known, else
    /// the number of bytes received so far.
    /// \param maxBytes its length if that is known, else the maximum length that is accepted.
    /// \return false if the answer has to wait until another one has ended.
    bool tryGrow(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes);

    /// \brief Removes an answer that was aborted, or needs no memory any more.
    void answerEnded(std::uint64_t answer);

    /// \brief Removes an answer that has completed, and counts its bytes until release().
    /// \return number of bytes to release once the answer has been passed on; 0 if it needs no
    /// memory of the budget.
    std::size_t answerCompleted(std::uint64_t answer, std::size_t bytes);

    /// \brief Returns the bytes of a complete answer.
    void release(std::size_t bytes) { m_completeBytes -= bytes; }

    /// \return number of bytes reserved by incomplete answers.
    std::size_t reserved() const;

    /// \return number of bytes of all answers, also of complete ones that are not released yet.
    std::size_t held() const { return reserved() + m_completeBytes; }

private:
    struct Answer
    {
        std::uint64_t id = 0;
        std::size_t reserved = 0;
        std::size_t maxBytes = 0;
    };

    /// In the order in which they exceeded BodyBudget::MaxFreeBytes.
    std::vector<Answer> m_answers;
    std::size_t m_completeBytes = 0;
};

} // namespace Coltsfootwell
