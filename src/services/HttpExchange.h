// One request to a backend server or to the store, over a pooled connection.
#pragma once

#include "decisions/AnswerBudget.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/HttpPool.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Coltsfootwell {

/// Maximum idle time that excludes every pooled connection.
constexpr Duration NewConnectionOnly {};

/// \brief A request and the limits of its exchange.
struct ExchangeRequest
{
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
    /// Metadata of a run, whose headers are added right before the request is sent, with the time
    /// that is left then; empty for other requests.
    std::optional<RunEnvelope> run;
    BodyPtr body;
    /// Request id that the answer must carry if the server names requests; empty if the request has
    /// none, so that an answer which names a request belongs to another one.
    std::string requestId;
    /// Maximum time for which a reused connection may have been idle.
    Duration maxIdleTime {};
    TimePoint deadline;
    /// Maximum time between two reads of the answer's body. If set, it replaces the deadline once
    /// the header has been read, so that a long answer over a link of low bandwidth is not aborted
    /// while it makes progress. Zero keeps the deadline.
    Duration bodyIdleTimeout {};
    /// Maximum time for establishing a new connection.
    Duration connectTimeout = std::chrono::milliseconds(250);
    /// Maximum length of the answer's body in bytes; a longer one ends the exchange as Lost.
    std::uint64_t maxAnswerBytes = AnswerBudget::MaxBytes;
};

/// \brief Result of an exchange.
struct ExchangeOutcome
{
    enum class Kind {
        /// A complete answer was received.
        Answered,
        /// No byte was sent.
        Unsent,
        /// No connection could be made; no byte was sent.
        Unreachable,
        /// Bytes were sent, and no complete answer was received.
        Lost,
        /// As Lost, on a reused connection that failed before the first byte of an answer.
        StaleConnection,
    };

    Kind kind = Kind::Lost;
    /// True if the answer was lost because it exceeded ExchangeRequest::maxAnswerBytes.
    bool answerTooLarge = false;
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Memory that `body` takes in the budget of the server's answers; hold it as long as the body.
    std::shared_ptr<void> bodyMemory;
    /// Headers of the answer that are addressed to the daemon.
    AnswerEnvelope envelope;
    /// Time from the end of the answer's header to its last byte.
    Duration bodyReceiveTime {};
    /// Part of that time in which the answer was not read, since there was no memory for it.
    Duration memoryWaitTime {};
    /// True if the answer was lost during such a wait, which is no fault of the server.
    bool lostInMemoryWait = false;
    /// True if the request was not sent since this process has no descriptor or memory for a
    /// connection.
    bool lackedResources = false;
    /// Time at which the first byte of the request was sent; empty if none was.
    std::optional<TimePoint> sentAt;
    /// True if the connection had carried an earlier request.
    bool reusedConnection = false;
    /// Number of complete answers that were passed over because they belong to other requests.
    unsigned discardedAnswers = 0;
};

/// \brief Runs one request. All callbacks are invoked on the executor's thread.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    /// \param dialect encodes the headers of runs and decodes those of answers; must outlive the
    /// exchange.
    /// \param mayStart called right before the first byte is sent; the exchange ends as Unsent if
    /// it returns false.
    /// \param onEnded called exactly once with the result.
    HttpExchange(boost::asio::io_context &context, Executor &executor,
                 std::shared_ptr<HttpPool> pool, const HttpDialect &dialect,
                 ExchangeRequest request, std::function<bool()> mayStart,
                 std::function<void(ExchangeOutcome)> onEnded);
    ~HttpExchange();

    /// \brief Starts the exchange, which keeps this object alive until it has ended.
    void start();

    /// \brief Resets the connection; the exchange ends as Unsent or Lost.
    void cancel();

    /// \return true while the body of the answer is being received.
    bool isReceivingBody() const { return m_receivingBody; }

private:
    struct Task;

    /// Resets the connection, whether the exchange reads from it or waits for memory.
    void resetConnection();
    /// Tells the owner the outcome.
    void end(ExchangeOutcome outcome);
    /// Ends the exchange after its task has ended without an outcome.
    void taskAbandoned();

    boost::asio::io_context &m_context;
    Executor &m_executor;
    std::shared_ptr<HttpPool> m_pool;
    const HttpDialect &m_dialect;
    ExchangeRequest m_request;
    std::function<bool()> m_mayStart;
    std::function<void(ExchangeOutcome)> m_onEnded;
    std::unique_ptr<Internal::HttpConnection> m_connection;
    bool m_cancelled = false;
    bool m_receivingBody = false;
    /// Never expires; cancelled when an answer that waits for memory has to look again.
    boost::asio::steady_timer m_reserveTimer;
    /// Time at which the first byte of the request was sent; empty before that.
    std::optional<TimePoint> m_sentAt;
    /// Number of the answer in the pool while its body is being received.
    std::optional<std::uint64_t> m_receivedAnswer;
    /// Time at which the header of the answer was complete.
    TimePoint m_headerReadAt {};
};

} // namespace Coltsfootwell
