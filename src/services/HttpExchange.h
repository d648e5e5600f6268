// One outgoing HTTP call: a task that owns its connection and reports through handlers.
#pragma once

#include "services/CallMessages.h"

#include <deque>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

namespace Internal {
struct HttpConnection;
}

/// \brief Idle connections to one endpoint.
class HttpPool
{
public:
    /// \param context runs the connections.
    /// \param endpoint where they go.
    HttpPool(boost::asio::io_context &context, Endpoint endpoint);
    ~HttpPool();

    const Endpoint &endpoint() const { return m_endpoint; }

    /// \brief Takes the connection used last, or makes an unconnected one.
    /// \param maxIdle connections idle for longer are closed and not used.
    std::unique_ptr<Internal::HttpConnection> take(Duration maxIdle, TimePoint now);

    /// \brief Keeps a connection whose last answer was whole.
    void give(std::unique_ptr<Internal::HttpConnection> connection, TimePoint now);

    /// \brief Closes connections that were idle for too long.
    void expire(Duration maxIdle, TimePoint now);

    /// \return number of idle connections.
    std::size_t idle() const { return m_idle.size(); }

private:
    boost::asio::io_context &m_context;
    Endpoint m_endpoint;
    std::deque<std::unique_ptr<Internal::HttpConnection>> m_idle;
};

/// \brief What an exchange sends and how long it waits.
struct ExchangeRequest
{
    std::shared_ptr<const CallHead> head;
    /// Replace the headers of the head.
    std::vector<HeaderField> headers;
    CallBody body;
    /// When set, the answer must repeat this value in the header Coltsfootwell-Request.
    std::string echo;
    /// True to send a streamed body only after the receiver has agreed to take the call.
    bool askBeforeBody = false;
    Duration connectTimeout {};
    /// Longest wait for the next byte.
    Duration progressTimeout {};
    /// Longest time that a pooled connection may have been idle.
    Duration maxIdle {};
};

/// \brief Events of an exchange, each called at most once, in this order.
struct ExchangeHandlers
{
    /// Asked right before the first byte is sent; false stops the exchange unsent.
    std::function<bool()> mayBegin;
    std::function<void(AnswerHead, BodyPipePtr)> answered;
    std::function<void(AttemptLost)> lost;
    /// Called last, after answered or lost; true when the whole answer was passed on.
    std::function<void(bool whole)> ended;
};

/// \brief Runs one call over a pooled connection.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    HttpExchange(boost::asio::io_context &context, Executor &executor,
                 std::shared_ptr<HttpPool> pool, ExchangeRequest request,
                 ExchangeHandlers handlers);
    ~HttpExchange();

    /// \brief Begins; the task keeps the object alive.
    void start();

    /// \brief Resets the connection; lost or ended is called as for a broken connection.
    void cancel();

private:
    struct Task;

    boost::asio::io_context &m_context;
    Executor &m_executor;
    std::shared_ptr<HttpPool> m_pool;
    ExchangeRequest m_request;
    ExchangeHandlers m_handlers;
    std::unique_ptr<Internal::HttpConnection> m_connection;
    bool m_cancelled = false;
};

} // namespace Coltsfootwell
