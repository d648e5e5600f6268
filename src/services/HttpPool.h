// Idle connections to one HTTP server, and the memory of the answers that arrive from it.
#pragma once

#include "decisions/AnswerBudget.h"
#include "decisions/Member.h"
#include "kernel/Time.h"

#include <deque>
#include <map>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

namespace Internal {
struct HttpConnection;
}

class HttpExchange;

/// \brief Shared by all exchanges with one server.
class HttpPool
{
public:
    /// Connections that are kept while idle.
    static constexpr std::size_t MaxIdleConnections = 32;

    HttpPool(boost::asio::io_context &context, Endpoint endpoint);
    ~HttpPool();

    const Endpoint &endpoint() const { return m_endpoint; }

    /// \param maxIdleTime longest time that the connection may have been idle.
    /// \return the connection that was idle for the shortest time, or a new one that is not open.
    std::unique_ptr<Internal::HttpConnection> take(Duration maxIdleTime, TimePoint now);

    /// \brief Takes a connection back after a whole answer.
    void give(std::unique_ptr<Internal::HttpConnection> connection, TimePoint now);

    /// \brief Closes connections that the server is about to close.
    void expire(TimePoint now);

    /// \brief The body of an answer begins to arrive.
    /// \return its number.
    std::uint64_t answerBegins(std::weak_ptr<HttpExchange> exchange);

    /// \brief Closes the connection of the longest answer when all together are too long.
    /// \param bytes length so far.
    void answerGrows(std::uint64_t answer, std::size_t bytes);

    /// \brief An answer is whole or lost.
    void answerEnds(std::uint64_t answer);

private:
    boost::asio::io_context &m_context;
    Endpoint m_endpoint;
    std::deque<std::unique_ptr<Internal::HttpConnection>> m_idle;
    AnswerBudget m_answers;
    std::map<std::uint64_t, std::weak_ptr<HttpExchange>> m_arriving;
    std::uint64_t m_lastAnswer = 0;
};

} // namespace Coltsfootwell
