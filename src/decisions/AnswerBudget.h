// Limits the memory used by answers, while they are received and until they have been passed on.
//
// Guards against a server that sends bytes without end, against several long answers at once, and
// against callers that do not take their answers: an answer for which there is no memory waits
// until others have ended, so that none is given up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Shares of the memory for answers. Each has its own limit, so that short answers go on
/// beside long ones.
enum class AnswerSize : std::uint8_t {
    /// Up to BodyBudget::MaxFreeBytes.
    Short,
    Long,
};

/// \return the share to which an answer belongs.
AnswerSize answerSize(std::size_t bytes);

/// \brief Limits of an AnswerBudget in bytes.
struct AnswerLimits
{
    /// Long answers that are incomplete, each with its maximum length. Beside an answer of unknown
    /// length, which may grow to AnswerBudget::MaxBytes, newer ones have the rest.
    std::size_t incompleteLongBytes = 0;
    /// Long answers, also complete ones that a slow caller or link has not taken yet.
    std::size_t longBytes = 0;
    /// Short answers, incomplete or complete.
    std::size_t shortBytes = 0;
};

/// \brief Decides which of the incomplete answers may be read further.
///
/// A long answer is admitted only if each older one can still grow to its maximum length beside it.
/// The oldest answer can therefore always go on unless it waits for complete ones to be passed on,
/// and all incomplete answers together never exceed their limit. A short answer reserves all that
/// it may need at once, so that none waits for another incomplete one. An answer that exceeds its
/// share is admitted while the share holds no other.
class AnswerBudget
{
public:
    /// Maximum number of bytes of one answer.
    static constexpr std::size_t MaxBytes = 32ULL << 20;
    /// Limits for a process whose memory is not limited otherwise. Two answers of MaxBytes fit, so
    /// that one slow caller does not hold up others.
    static constexpr AnswerLimits DefaultLimits {MaxBytes + (8ULL << 20), 2 * MaxBytes,
                                                 16ULL << 20};

    explicit AnswerBudget(const AnswerLimits &limits = DefaultLimits) : m_limits(limits) { }

    /// \brief Reserves memory for an answer.
    /// \param answer identifier of the answer.
    /// \param bytes number of bytes that the answer needs now: its length if that is known, else
    /// the number of bytes received so far.
    /// \param maxBytes its length if that is known, else the maximum length that is accepted.
    /// \return false if the answer has to wait until another one has ended.
    bool tryGrow(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes);

    /// \brief Removes an answer that was aborted, or needs no memory any more.
    void answerEnded(std::uint64_t answer);

    /// \brief Removes an answer that has completed, and counts its bytes until release().
    /// \param answer identifier of the answer; may be unknown, for one that was not reserved.
    void answerCompleted(std::uint64_t answer, std::size_t bytes);

    /// \brief Returns the bytes of a complete answer.
    void release(std::size_t bytes);

    /// \return number of bytes reserved by incomplete long answers.
    std::size_t reserved() const;

    /// \return number of bytes of all answers, also of complete ones that are not released yet.
    std::size_t held() const { return reserved() + m_completeLongBytes + shortHeld(); }

    /// \return number of bytes that short answers take.
    std::size_t shortHeld() const;

private:
    struct Answer
    {
        std::uint64_t id = 0;
        std::size_t reserved = 0;
        std::size_t maxBytes = 0;
    };

    bool tryReserveShort(std::uint64_t answer, std::size_t bytes);
    bool tryGrowLong(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes);

    AnswerLimits m_limits;
    /// Long answers in the order in which they exceeded BodyBudget::MaxFreeBytes.
    std::vector<Answer> m_longAnswers;
    std::vector<Answer> m_shortAnswers;
    std::size_t m_completeLongBytes = 0;
    std::size_t m_completeShortBytes = 0;
};

} // namespace Coltsfootwell
