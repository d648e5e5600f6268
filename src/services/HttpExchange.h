// One request to a backend server or to the store over a pooled connection.
#pragma once

#include "decisions/AnswerBudget.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/HttpPool.h"

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief What is sent, and how long the exchange may last.
struct ExchangeRequest
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    BodyPtr body;
    /// Request id that the answer must name; empty when any answer will do.
    std::string requestId;
    Duration maxIdleTime {};
    TimePoint deadline;
    /// Once the answer arrives, its longest silence takes the place of the deadline; zero for none.
    /// A long answer over a narrow link is then not given up while it makes progress.
    Duration bodyIdleTimeout {};
    Duration connectTimeout = std::chrono::milliseconds(250);
    /// Longest body that is read.
    std::uint64_t maxAnswerBytes = AnswerBudget::MaxBytes;
};

/// \brief How an exchange has ended.
struct ExchangeOutcome
{
    enum class Kind {
        Answered,
        /// No byte was sent.
        Unsent,
        /// No connection could be made; no byte was sent.
        Unreachable,
        /// Bytes were sent and no whole answer came.
        Lost,
        /// As Lost, and the server closed a connection that had been idle before its first byte.
        StaleConnection,
    };

    Kind kind = Kind::Lost;
    /// True when an answer was lost because it is longer than was allowed.
    bool answerTooLong = false;
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    AnswerEnvelope marks;
    /// Time from the answer's header to its last byte.
    Duration bodyReceiveTime {};
};

/// \brief Runs one request. Every handler runs on the executor's thread.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    /// \param dialect decodes the marks of answers; outlives the exchange.
    /// \param mayBegin asked right before the first byte is sent; false ends the exchange unsent.
    /// \param ended called once.
    HttpExchange(boost::asio::io_context &context, Executor &executor,
                 std::shared_ptr<HttpPool> pool, const HttpDialect &dialect,
                 ExchangeRequest request, std::function<bool()> mayBegin,
                 std::function<void(ExchangeOutcome)> ended);
    ~HttpExchange();

    /// \brief Begins; the task keeps the object alive.
    void start();

    /// \brief Closes the connection; the exchange ends as unsent or lost.
    void cancel();

    /// \return true while the body of the answer arrives.
    bool isReceivingBody() const { return m_receiving; }

private:
    struct Task;

    boost::asio::io_context &m_context;
    Executor &m_executor;
    std::shared_ptr<HttpPool> m_pool;
    const HttpDialect &m_dialect;
    ExchangeRequest m_request;
    std::function<bool()> m_mayBegin;
    std::function<void(ExchangeOutcome)> m_ended;
    std::unique_ptr<Internal::HttpConnection> m_connection;
    bool m_cancelled = false;
    bool m_receiving = false;
    /// Time at which the header of the answer was read.
    TimePoint m_headerRead {};
};

} // namespace Coltsfootwell
