// Pool of idle connections to one HTTP server, and the memory limit of the answers being received
// from it.
#pragma once

#include "decisions/AnswerBudget.h"
#include "decisions/Member.h"
#include "kernel/Time.h"

#include <deque>
#include <map>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

namespace Internal {
struct HttpConnection;
}

class HttpExchange;

/// \brief Connection pool that all exchanges with one server share.
class HttpPool : public std::enable_shared_from_this<HttpPool>
{
public:
    /// Maximum number of idle connections.
    static constexpr std::size_t MaxIdleConnections = 32;

    HttpPool(boost::asio::io_context &context, Endpoint endpoint);
    ~HttpPool();

    const Endpoint &endpoint() const { return m_endpoint; }

    /// \param maxIdleTime maximum time for which a reused connection may have been idle.
    /// \param requestId id of the request; empty if it has none.
    /// \return the most recently used connection on which an answer to this request is not to be
    /// expected twice, or a new one that is not yet open.
    std::unique_ptr<Internal::HttpConnection> acquire(Duration maxIdleTime,
                                                      std::string_view requestId, TimePoint now);

    /// \brief Returns a connection to the pool after a complete answer.
    void release(std::unique_ptr<Internal::HttpConnection> connection, TimePoint now);

    /// \brief Closes connections whose idle timeout on the server is about to expire.
    void closeExpired(TimePoint now);

    /// \brief Registers an answer whose body is about to be received.
    /// \return the number of the answer.
    std::uint64_t answerStarted(std::weak_ptr<HttpExchange> exchange);

    /// \brief Reserves memory for an answer, see AnswerBudget::tryGrow().
    /// \return false if there is none now; HttpExchange::retryReserve() tells when to try again.
    bool tryReserve(std::uint64_t answer, std::size_t bytes, std::size_t maxBytes)
    {
        return m_answerBudget.tryGrow(answer, bytes, maxBytes);
    }

    /// \brief Unregisters an answer that is complete.
    /// \param bytes length of its body.
    /// \return holds the memory of the answer until it is destroyed.
    std::shared_ptr<void> answerCompleted(std::uint64_t answer, std::size_t bytes);

    /// \brief Unregisters an answer that is lost, and lets the others use its memory.
    /// \param answer number of the answer.
    void answerEnded(std::uint64_t answer);

    /// \return number of bytes that answers hold.
    std::size_t heldAnswerBytes() const { return m_answerBudget.held(); }

private:
    /// Lets answers that wait for memory try again.
    void memoryReleased();

    boost::asio::io_context &m_context;
    Endpoint m_endpoint;
    std::deque<std::unique_ptr<Internal::HttpConnection>> m_idle;
    AnswerBudget m_answerBudget;
    /// Exchanges whose answers are being received, by the number of the answer.
    std::map<std::uint64_t, std::weak_ptr<HttpExchange>> m_receivingExchanges;
    std::uint64_t m_lastAnswerNumber = 0;
};

} // namespace Coltsfootwell
