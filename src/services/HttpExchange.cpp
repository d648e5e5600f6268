#include "services/HttpExchange.h"

#include "services/HttpConnection.h"
#include "services/HttpRead.h"
#include "services/TaskGuard.h"
#include "wire/AnswerHead.h"
#include "wire/AnswerStatus.h"
#include "wire/ParseNumber.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <array>

namespace Coltsfootwell {

using namespace Internal;

namespace {

using std::chrono::seconds;

/// Maximum length of a body that is written together with the head of its request, in one buffer.
constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;
/// Maximum length of the header of an answer.
constexpr std::uint32_t MaxAnswerHeaderBytes = 64 * 1024;
/// Maximum number of answers that are read for one request, including interim answers and answers
/// to other requests.
constexpr unsigned MaxAnswersPerRequest = 4;
/// Number of requests that are excluded from a connection after which it is closed.
constexpr std::size_t MaxAnsweredIds = 64;

/// Minimum room for a body of unknown length before a read, which brings no more at a time.
constexpr std::size_t MinBodyRoomBytes = 64 * 1024;

using AnswerParser = http::response_parser<http::string_body>;

/// \return the fault of a head that does not tell what the answer is or where its body ends.
boost::system::error_code headFault(const http::response<http::string_body> &answer)
{
    if (statusClass(answer.result_int()) == StatusClass::Invalid) {
        return http::error::bad_status;
    }
    return hasReadableBody(answer, answer.version()) ? boost::system::error_code()
                                                     : http::error::bad_transfer_encoding;
}

/// \return the timeout in the header "Keep-Alive", or DefaultIdleTimeout if there is none.
Duration parseKeepAliveTimeout(const http::fields &fields)
{
    const std::string_view text = stdView(fields[http::field::keep_alive]);
    constexpr std::string_view Key = "timeout=";
    const std::size_t keyStart = text.find(Key);
    if (keyStart == std::string_view::npos) {
        return DefaultIdleTimeout;
    }
    const std::string_view digits = text.substr(keyStart + Key.size());
    const auto n = parseNumber<unsigned>(digits.substr(0, digits.find_first_not_of("0123456789")));
    return n ? Duration(seconds(*n)) : DefaultIdleTimeout;
}

/// \return the number of bytes that the buffer of a body of unknown length has to take before the
/// next read. It grows by a quarter; a string would double, which the budget does not see.
std::size_t nextCapacity(const std::string &body, std::size_t maxBytes)
{
    constexpr std::size_t GrowthDivisor = 4;
    if (answerSize(body.size()) == AnswerSize::Short) {
        return body.size();
    }
    if (body.capacity() - body.size() >= MinBodyRoomBytes) {
        return body.capacity();
    }
    const std::size_t wanted
        = body.size() + std::max(MinBodyRoomBytes, body.size() / GrowthDivisor);
    return std::max(body.size(), std::min(wanted, maxBytes));
}

} // namespace

struct HttpExchange::Task
{
    HttpExchange &self;
    bool reused = false;
    bool answerStarted = false;
    bool answerTooLarge = false;
    bool lostInMemoryWait = false;
    bool lackedResources = false;
    unsigned discardedAnswers = 0;
    Duration memoryWaitTime {};
    /// Memory of the last complete answer.
    std::shared_ptr<void> bodyMemory {};
    TimerId deadlineTimer = 0;

    /// \return true if the answer has no body whatever its header says. A late answer on a
    /// connection with such a request and others could not be told from its body.
    bool isHeadRequest() const { return self.m_request.method == "HEAD"; }

    asio::awaitable<bool> connect()
    {
        boost::system::error_code ec;
        HttpConnection &connection = *self.m_connection;
        reused = connection.connected;
        if (reused) {
            co_return true;
        }
        const Endpoint &endpoint = self.m_pool->endpoint();
        const auto address = asio::ip::make_address(endpoint.address, ec);
        if (!ec) {
            const TimePoint connectDeadline = std::min(
                self.m_executor.now() + self.m_request.connectTimeout, self.m_request.deadline);
            const TimerId timer = scheduleReset(connectDeadline);
            co_await connection.socket.async_connect(tcp::endpoint(address, endpoint.port),
                                                     asio::redirect_error(asio::use_awaitable, ec));
            self.m_executor.cancel(timer);
        }
        if (ec) {
            lackedResources = lacksResources(ec);
            co_return false;
        }
        connection.connected = true;
        configureSocket(connection.socket);
        co_return true;
    }

    TimerId scheduleReset(TimePoint at)
    {
        return self.m_executor.scheduleAfter(at - self.m_executor.now(),
                                             [weak = self.weak_from_this()] {
                                                 if (const auto exchange = weak.lock()) {
                                                     exchange->resetConnection();
                                                 }
                                             });
    }

    /// \return true if the body is written from its own buffer, since a copy would take memory.
    bool hasLongBody() const
    {
        return self.m_request.body && self.m_request.body->size() > MaxCopiedBodyBytes;
    }

    /// \return the bytes of the request, without a long body.
    std::string requestBytes() const
    {
        http::request<http::span_body<const char>> message;
        message.version(11);
        message.method_string(beastView(self.m_request.method));
        message.target(beastView(self.m_request.target));
        for (const HeaderField &field : self.m_request.headers) {
            message.insert(field.name, field.value);
        }
        const BodyPtr &body = self.m_request.body;
        if (hasLongBody()) {
            message.content_length(body->size());
        } else if (body && !body->empty()) {
            message.body() = beast::span<const char>(body->data(), body->size());
            message.content_length(body->size());
        } else if (message.method() != http::verb::get && message.method() != http::verb::head) {
            message.content_length(0);
        }
        return serializeMessage(message);
    }

    /// Adds the headers of a run. Time spent on connecting counts against its deadline.
    void addRunHeaders()
    {
        if (auto &run = self.m_request.run) {
            run->remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
                self.m_request.deadline - self.m_executor.now());
            self.m_dialect.encodeRun(*run, self.m_request.headers);
        }
    }

    /// Starts to write the request. Nothing is sent if its head cannot be encoded. Reading does not
    /// wait for the end of the write, since a server may answer before it has read a long body.
    void startWrite()
    {
        auto bytes = std::make_shared<std::string>(requestBytes());
        self.m_sentAt = self.m_executor.now();
        self.m_connection->writing = true;
        std::array<asio::const_buffer, 2> buffers {asio::buffer(*bytes), {}};
        if (hasLongBody()) {
            buffers[1] = asio::buffer(*self.m_request.body);
        }
        asio::async_write(
            self.m_connection->socket, buffers,
            [exchange = self.shared_from_this(), bytes](boost::system::error_code, std::size_t) {
                if (exchange->m_connection) {
                    exchange->m_connection->writing = false;
                }
            });
    }

    void resetBodyIdleTimer()
    {
        if (self.m_request.bodyIdleTimeout > Duration()) {
            self.m_executor.cancel(deadlineTimer);
            deadlineTimer = scheduleReset(self.m_executor.now() + self.m_request.bodyIdleTimeout);
        }
    }

    /// Reserves memory for an answer, and waits for it if there is none.
    /// \return false if the connection was reset during the wait.
    asio::awaitable<bool> reserveMemory(std::uint64_t answer, std::size_t bytes,
                                        std::size_t maxBytes)
    {
        AnswerMemory &memory = self.m_pool->answerMemory();
        if (memory.tryReserve(answer, bytes, maxBytes) || !self.m_connection->socket.is_open()) {
            // A connection that was reset when a read had just ended fails at the next one. Nothing
            // would end a wait.
            co_return true;
        }
        const TimePoint start = self.m_executor.now();
        if (self.m_request.bodyIdleTimeout > Duration()) {
            // The server is not silent while nothing is read from it.
            self.m_executor.cancel(deadlineTimer);
            deadlineTimer = scheduleReset(
                std::max(self.m_request.deadline, start + self.m_request.bodyIdleTimeout));
        }
        do {
            memory.waitForRelease(bytes, [weak = self.weak_from_this()] {
                if (const auto exchange = weak.lock()) {
                    exchange->m_reserveTimer.cancel();
                }
            });
            boost::system::error_code ignored;
            self.m_reserveTimer.expires_at(asio::steady_timer::time_point::max());
            co_await self.m_reserveTimer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        } while (self.m_connection->socket.is_open()
                 && !memory.tryReserve(answer, bytes, maxBytes));
        memoryWaitTime += self.m_executor.now() - start;
        co_return self.m_connection->socket.is_open();
    }

    /// \return the bytes that were received and not yet decoded.
    std::string_view receivedBytes() const
    {
        const auto bytes = self.m_connection->buffer.cdata();
        return {static_cast<const char *>(bytes.data()), bytes.size()};
    }

    /// Receives the head of an answer, which stays in the buffer.
    /// \return http::error::header_limit if it is too long, http::error::bad_field if a line starts
    /// with a blank, or the error of the connection.
    asio::awaitable<boost::system::error_code> receiveHead()
    {
        HttpConnection &connection = *self.m_connection;
        boost::system::error_code ec;
        std::size_t end = receivedBytes().find(HeadEnd);
        while (end == std::string_view::npos) {
            const std::size_t received = receivedBytes().size();
            if (received >= MaxAnswerHeaderBytes) {
                co_return http::error::header_limit;
            }
            const std::size_t room = beast::read_size(connection.buffer, MaxAnswerHeaderBytes);
            const std::size_t n = co_await connection.socket.async_read_some(
                connection.buffer.prepare(room), asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return ec;
            }
            connection.buffer.commit(n);
            // The end may have arrived in parts.
            end = receivedBytes().find(HeadEnd, received - std::min(received, HeadEnd.size() - 1));
        }
        co_return hasFoldedLine(receivedBytes().substr(0, end)) ? http::error::bad_field
                                                                : boost::system::error_code();
    }

    /// Reads the head of an answer.
    /// \return the fault of the head, or the error of the connection.
    asio::awaitable<boost::system::error_code> readHead(AnswerParser &parser)
    {
        boost::system::error_code ec = co_await receiveHead();
        if (!ec) {
            ec = co_await readHeader(self.m_connection->socket, self.m_connection->buffer, parser);
        }
        co_return ec ? ec : headFault(parser.get());
    }

    /// Reads the body of an answer.
    asio::awaitable<boost::system::error_code> readBody(AnswerParser &parser)
    {
        HttpConnection &connection = *self.m_connection;
        AnswerMemory &memory = self.m_pool->answerMemory();
        const std::uint64_t answer = memory.answerStarted();
        self.m_receivedAnswer = answer;
        boost::system::error_code ec;
        self.m_receivingBody = true;
        self.m_headerReadAt = self.m_executor.now();
        const auto length = parser.content_length();
        const auto maxBytes = std::min(length.value_or(self.m_request.maxAnswerBytes),
                                       std::uint64_t(AnswerBudget::MaxBytes));
        const BodyReadBuffer readBuffer(connection.buffer, parser.is_done() ? 0 : maxBytes);
        while (!ec && !parser.is_done()) {
            std::string &body = parser.get().body();
            const std::size_t bytes = length ? maxBytes : nextCapacity(body, maxBytes);
            if (!co_await reserveMemory(answer, bytes, maxBytes)) {
                lostInMemoryWait = true;
                ec = asio::error::operation_aborted;
                break;
            }
            if (!length && answerSize(bytes) == AnswerSize::Long) {
                body.reserve(bytes);
            }
            resetBodyIdleTimer();
            ec = co_await readSome(connection.socket, connection.buffer, parser);
        }
        if (!ec && isCutAnswer(parser, connection.socket)) {
            ec = http::error::partial_message;
        }
        self.m_receivingBody = false;
        self.m_receivedAnswer.reset();
        if (ec) {
            memory.answerEnded(answer);
        } else {
            const std::string &body = parser.get().body();
            const bool isLong = answerSize(body.size()) == AnswerSize::Long;
            bodyMemory = memory.answerCompleted(answer, isLong ? body.capacity() : body.size());
        }
        co_return ec;
    }

    /// \return true if the answer names this request, or if it names none and the server is not
    /// known to name requests.
    bool isOwnAnswer(const AnswerEnvelope &envelope) const
    {
        return envelope.requestId == self.m_request.requestId
            || (envelope.requestId.empty() && !self.m_connection->namesRequests);
    }

    /// Reads answers until one matches the request id.
    /// \return false if there is no such answer.
    asio::awaitable<bool> readMatchingAnswer(http::response<http::string_body> &message,
                                             bool &keepAlive)
    {
        HttpConnection &connection = *self.m_connection;
        for (unsigned n = 0; n < MaxAnswersPerRequest; ++n) {
            AnswerParser parser;
            parser.body_limit(self.m_request.maxAnswerBytes);
            parser.header_limit(MaxAnswerHeaderBytes);
            parser.skip(isHeadRequest());
            boost::system::error_code ec = co_await readHead(parser);
            answerStarted = answerStarted || connection.buffer.size() > 0 || !ec;
            if (!ec) {
                ec = co_await readBody(parser);
            }
            answerTooLarge = ec == http::error::body_limit;
            if (ec) {
                co_return false;
            }
            keepAlive = parser.get().keep_alive() && !parser.need_eof();
            message = parser.release();
            if (statusClass(message.result_int()) == StatusClass::Interim) {
                continue;
            }
            const std::vector<HeaderField> fields = endToEndHeaders(message);
            const AnswerEnvelope envelope
                = self.m_dialect.decodeAnswer(message.result_int(), fields);
            connection.namesRequests = connection.namesRequests || !envelope.requestId.empty();
            if (isOwnAnswer(envelope)) {
                co_return true;
            }
            ++discardedAnswers;
        }
        co_return false;
    }

    /// \return an outcome with the history of the exchange.
    ExchangeOutcome makeOutcome(ExchangeOutcome::Kind kind) const
    {
        ExchangeOutcome outcome;
        outcome.kind = kind;
        outcome.sentAt = self.m_sentAt;
        outcome.reusedConnection = reused;
        outcome.discardedAnswers = discardedAnswers;
        outcome.memoryWaitTime = memoryWaitTime;
        return outcome;
    }

    ExchangeOutcome answeredOutcome(http::response<http::string_body> &message)
    {
        ExchangeOutcome outcome = makeOutcome(ExchangeOutcome::Kind::Answered);
        outcome.status = message.result_int();
        outcome.headers = endToEndHeaders(message);
        outcome.envelope = self.m_dialect.decodeAnswer(outcome.status, outcome.headers);
        outcome.body = std::move(message.body());
        outcome.bodyMemory = std::move(bodyMemory);
        outcome.bodyReceiveTime = self.m_executor.now() - self.m_headerReadAt;
        return outcome;
    }

    ExchangeOutcome failedOutcome(ExchangeOutcome::Kind kind)
    {
        if (self.m_connection) {
            resetSocket(self.m_connection->socket);
        }
        ExchangeOutcome outcome = makeOutcome(kind);
        outcome.answerTooLarge = answerTooLarge;
        outcome.lostInMemoryWait = lostInMemoryWait;
        outcome.lackedResources = lackedResources;
        return outcome;
    }

    /// \return true if the request may be sent to the server again after this answer. A late copy
    /// of the answer would match then, since all sends of a request have the same id. A request
    /// without an id, such as a health check, is sent again only after a refusal.
    bool allowsRepeat(const ExchangeOutcome &outcome) const
    {
        const AnswerEnvelope &envelope = outcome.envelope;
        const bool isFailure = !envelope.trusted || outcome.status >= FirstServerErrorStatus;
        return envelope.notRun || envelope.wrongInstance
            || (isFailure && !self.m_request.requestId.empty());
    }

    /// Excludes the request from this connection if it may be sent again after this answer.
    /// \return false if the connection must not be reused, since a late copy of the answer could
    /// not be told from the answer to any other request.
    bool excludeRepeat(const ExchangeOutcome &outcome)
    {
        std::vector<std::string> &ids = self.m_connection->answeredIds;
        if (!allowsRepeat(outcome)) {
            return true;
        }
        ids.push_back(outcome.envelope.requestId);
        return !outcome.envelope.requestId.empty() && ids.size() < MaxAnsweredIds;
    }

    /// \return true if the connection may carry other requests after this answer.
    bool isReusableAfter(const ExchangeOutcome &outcome)
    {
        // Bytes behind the answer belong to no request. A server that has answered early is still
        // reading the body of this request.
        const HttpConnection &connection = *self.m_connection;
        const bool isIdle = !connection.writing && connection.buffer.size() == 0;
        return isIdle && !self.m_cancelled && !isHeadRequest() && excludeRepeat(outcome);
    }

    asio::awaitable<ExchangeOutcome> run()
    {
        using Kind = ExchangeOutcome::Kind;
        if (self.m_cancelled) {
            co_return failedOutcome(Kind::Unsent);
        }
        self.m_connection
            = self.m_pool->acquire(isHeadRequest() ? NewConnectionOnly : self.m_request.maxIdleTime,
                                   self.m_request.requestId, self.m_executor.now());
        if (!co_await connect()) {
            co_return failedOutcome(self.m_cancelled || lackedResources ? Kind::Unsent
                                                                        : Kind::Unreachable);
        }
        if (self.m_cancelled || !self.m_mayStart()) {
            co_return failedOutcome(Kind::Unsent);
        }
        deadlineTimer = scheduleReset(self.m_request.deadline);
        addRunHeaders();
        startWrite();
        http::response<http::string_body> message;
        bool keepAlive = false;
        const bool complete = co_await readMatchingAnswer(message, keepAlive);
        self.m_executor.cancel(deadlineTimer);
        if (!complete) {
            co_return failedOutcome(
                reused && !answerStarted && !self.m_cancelled ? Kind::StaleConnection : Kind::Lost);
        }
        HttpConnection &connection = *self.m_connection;
        const Duration serverIdleTimeout = parseKeepAliveTimeout(message);
        ExchangeOutcome outcome = answeredOutcome(message);
        if (keepAlive && isReusableAfter(outcome)) {
            connection.serverIdleTimeout = serverIdleTimeout;
            self.m_pool->release(std::move(self.m_connection), self.m_executor.now());
        } else {
            boost::system::error_code ec;
            connection.socket.close(ec);
        }
        co_return outcome;
    }
};

HttpExchange::HttpExchange(asio::io_context &context, Executor &executor,
                           std::shared_ptr<HttpPool> pool, const HttpDialect &dialect,
                           ExchangeRequest request, std::function<bool()> mayStart,
                           std::function<void(ExchangeOutcome)> onEnded)
    : m_context(context), m_executor(executor), m_pool(std::move(pool)), m_dialect(dialect),
      m_request(std::move(request)), m_mayStart(std::move(mayStart)), m_onEnded(std::move(onEnded)),
      m_reserveTimer(context)
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::start()
{
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> asio::awaitable<void> {
            TaskGuard guard(self->m_context.get_executor(), [self] { self->taskAbandoned(); });
            Task task {*self};
            ExchangeOutcome outcome = co_await task.run();
            guard.finished();
            self->end(std::move(outcome));
        },
        rethrowFailure);
}

void HttpExchange::end(ExchangeOutcome outcome)
{
    const auto onEnded = std::exchange(m_onEnded, nullptr);
    m_mayStart = nullptr;
    onEnded(std::move(outcome));
}

void HttpExchange::taskAbandoned()
{
    if (m_receivedAnswer) {
        m_pool->answerMemory().answerEnded(*m_receivedAnswer);
    }
    m_receivingBody = false;
    resetConnection();
    ExchangeOutcome outcome;
    outcome.kind = m_sentAt ? ExchangeOutcome::Kind::Lost : ExchangeOutcome::Kind::Unsent;
    outcome.sentAt = m_sentAt;
    end(std::move(outcome));
}

void HttpExchange::cancel()
{
    m_cancelled = true;
    resetConnection();
}

void HttpExchange::resetConnection()
{
    if (m_connection) {
        resetSocket(m_connection->socket);
        m_reserveTimer.cancel();
    }
}

} // namespace Coltsfootwell
