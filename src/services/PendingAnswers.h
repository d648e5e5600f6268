// Requests of one connection whose answers have not been handed to the writer yet. Answers keep the
// order of their requests.
#pragma once

#include "decisions/Outcome.h"
#include "services/AnswerMessages.h"
#include "services/CallMessages.h"
#include "services/CallerAnswer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell::Internal {

/// \brief One request and its answer.
struct Exchange
{
    /// Number of the call; 0 for requests on control paths and for refused requests.
    std::uint64_t number = 0;
    std::string requestId;
    bool headRequest = false;
    /// False if the connection must be closed after the answer.
    bool keepAlive = true;
    /// Serializes the answer; empty until there is one.
    std::function<SerializedAnswer(const AnswerFraming &)> makeAnswer;
    /// Body that `makeAnswer` holds.
    HeldAnswer held {};

    bool isAnswered() const { return static_cast<bool>(makeAnswer); }
};

/// \brief Queue of the exchanges of one connection.
class PendingAnswers
{
public:
    /// Maximum number of pipelined requests of one connection that are in flight at the same time.
    static constexpr std::size_t MaxRequests = 64;

    /// \brief Adds a request after all others.
    void add(std::shared_ptr<Exchange> exchange) { m_exchanges.push_back(std::move(exchange)); }

    bool empty() const { return m_exchanges.empty(); }
    bool full() const { return m_exchanges.size() >= MaxRequests; }

    /// \return true if the last answer closes the connection.
    bool endWithClose() const { return !empty() && !m_exchanges.back()->keepAlive; }

    /// \brief Calls a function with each answer that is held.
    void forEachHeld(const std::function<void(const HeldAnswer &)> &visit) const;

    /// \return the first request if it is answered, which is removed; otherwise null.
    std::shared_ptr<Exchange> takeAnswered();

    /// \brief Removes all requests and cancels the calls that have no answer.
    /// \param calls receives CancelCall for each of them.
    void cancelAll(const Address<CallsMessage> &calls);

    /// \brief Removes all requests from the first one without an answer on, and cancels their
    /// calls. \param calls receives CancelCall for each call without an answer.
    void cancelUnanswered(const Address<CallsMessage> &calls);

private:
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
};

} // namespace Coltsfootwell::Internal
