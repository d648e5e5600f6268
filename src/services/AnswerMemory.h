// Memory for answers that several connections share, and what waits for it.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/AnswerBudget.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief An AnswerBudget, and the answers that wait for its bytes.
class AnswerMemory : public std::enable_shared_from_this<AnswerMemory>
{
public:
    /// Interval in which a shortage is reported while answers wait.
    static constexpr std::chrono::milliseconds ShortageInterval {100};

    explicit AnswerMemory(boost::asio::io_context &context,
                          const AnswerLimits &limits = AnswerBudget::DefaultLimits);

    /// \brief Sets what is called in a shortage, with the share and the number of bytes that
    /// answers wait for.
    void reportShortage(std::function<void(AnswerSize, std::size_t)> onShortage)
    {
        m_onShortage = std::move(onShortage);
    }

    /// \return the number of a new answer.
    std::uint64_t answerStarted() { return ++m_lastAnswer; }

    /// \brief See AnswerBudget::tryGrow().
    bool tryReserve(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes)
    {
        return m_budget.tryGrow(answer, bytes, maxBytes);
    }

    /// \brief Counts an answer that is complete.
    /// \param bytes length of its body.
    /// \return holds the memory of the answer until it is destroyed.
    std::shared_ptr<void> answerCompleted(std::uint64_t answer, std::size_t bytes);

    /// \brief Lets others use the memory of an answer that is lost.
    void answerEnded(std::uint64_t answer);

    /// \brief Takes memory for a whole answer.
    /// \return holds it until it is destroyed; null if there is none now.
    std::shared_ptr<void> tryTake(std::size_t bytes);

    /// \brief Counts an answer that has arrived, whether there is memory for it or not.
    /// \return holds the memory until it is destroyed.
    std::shared_ptr<void> take(std::size_t bytes)
    {
        return answerCompleted(answerStarted(), bytes);
    }

    /// \return number of bytes of all answers.
    std::size_t held() const { return m_budget.held(); }

    /// \return number of bytes that short answers take.
    std::size_t shortHeld() const { return m_budget.shortHeld(); }

    /// \brief Calls a task once when memory is released next.
    /// \param bytes what it waits for.
    void waitForRelease(std::size_t bytes, Task task);

private:
    struct Waiting
    {
        std::size_t bytes = 0;
        Task task;
    };

    /// Lets answers that wait for memory try again.
    void released();
    void armTimer();

    boost::asio::io_context &m_context;
    AnswerBudget m_budget;
    std::uint64_t m_lastAnswer = 0;
    std::vector<Waiting> m_waiting;
    boost::asio::steady_timer m_timer;
    bool m_timerArmed = false;
    std::function<void(AnswerSize, std::size_t)> m_onShortage;
};

/// \return a body that holds its memory as long as anything uses it.
BodyPtr makeHeldBody(std::string bytes, std::shared_ptr<void> memory);

} // namespace Coltsfootwell
