#include "services/CallerSession.h"

#include "decisions/RetryAfter.h"
#include "services/AnswerWriter.h"
#include "services/CallerAnswer.h"
#include "services/ControlMessages.h"
#include "services/HttpIo.h"
#include "services/PendingAnswers.h"
#include "services/ServiceNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace Coltsfootwell::Internal {

namespace {

constexpr std::string_view ControlPrefix = "/coltsfootwell/";
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time for which input is still read and discarded after the last answer. Closing a socket with
/// unread input resets the connection, which can destroy an answer in transit.
constexpr std::chrono::seconds LingerTimeout {1};
/// Time for which a stop waits for the first request of an open connection. A caller that has just
/// connected is about to send one, and if the connection were closed, it could not determine
/// whether the request was processed.
constexpr std::chrono::seconds FirstRequestTimeout {1};
/// Maximum time for which a request waits for memory for its body. A caller that may repeat its
/// request does so after a second without progress.
constexpr std::chrono::milliseconds MaxMemoryWait {500};

/// State of the reading side of a connection.
enum class ReadPhase {
    /// Waits for the first byte of a request.
    Idle,
    /// Reads the rest of a request.
    Request,
};

class Session final : public SessionHandle, public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<SessionContext> context)
        : m_socket(std::move(socket)), m_context(std::move(context)),
          m_readerWakeup(m_socket.get_executor()),
          m_writer(
              m_socket, [this] { answersWritten(); }, [this] { connectionLost(); })
    {
        m_context->sessions.insert(this);
    }

    ~Session() override
    {
        m_context->executor.cancel(m_timer);
        m_context->removeSession(this);
    }

    void start()
    {
        asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()] { return self->run(); },
            asio::detached);
    }

    void close() override
    {
        m_closing = true;
        if (!isIdle()) {
            return;
        }
        if (const Duration wait = remainingFirstRequestTime(); wait > Duration::zero()) {
            armTimer(wait);
            return;
        }
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_socket.cancel(ec);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// \return true if a request is in flight or an answer is being written.
    bool isAnswering() const { return !m_pending.empty() || m_writer.isWriting(); }

    /// \return true if nothing is to be answered or written, and no bytes of a request are buffered
    /// here or in the kernel.
    bool isIdle()
    {
        boost::system::error_code ec;
        return !isAnswering() && m_phase == ReadPhase::Idle && m_buffer.size() == 0
            && m_socket.available(ec) == 0;
    }

    /// \return time for which a stop still waits for the first request of this connection.
    Duration remainingFirstRequestTime() const
    {
        if (m_receivedRequest) {
            return {};
        }
        return std::max(m_openedAt + FirstRequestTimeout - m_context->executor.now(),
                        Duration::zero());
    }

    asio::awaitable<void> run()
    {
        while (!m_readEnded) {
            while (m_pending.full()) {
                boost::system::error_code ec;
                armTimer(m_context->limits.idleTimeout);
                m_readerWakeup.expires_at(std::chrono::steady_clock::time_point::max());
                co_await m_readerWakeup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            }
            if (!m_readEnded) {
                co_await readRequest();
            }
        }
        m_context->executor.cancel(m_timer);
    }

    asio::awaitable<void> readRequest()
    {
        Parser parser;
        BodyReservation reservation(m_context->bodyBudget);
        parser.header_limit(static_cast<std::uint32_t>(m_context->limits.headerBytes));
        parser.body_limit(m_context->limits.bodyBytes);
        boost::system::error_code ec;
        if (m_buffer.size() == 0) {
            m_phase = ReadPhase::Idle;
            armTimer(m_closing ? remainingFirstRequestTime()
                               : Duration(m_context->limits.idleTimeout));
            // Waits for the first byte separately, to distinguish an idle connection from a slow
            // request.
            co_await m_socket.async_wait(tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, ec));
        }
        if (!ec) {
            m_phase = ReadPhase::Request;
            armTimer(m_context->limits.headerTimeout);
            co_await http::async_read_header(m_socket, m_buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, ec));
        }
        if (!ec && !parser.is_done()) {
            armTimer(m_context->limits.idleTimeout);
            ec = co_await readBody(parser, reservation);
        }
        m_context->executor.cancel(m_timer);
        if (ec) {
            readFailed(ec);
            co_return;
        }
        m_phase = ReadPhase::Idle;
        requestReceived(parser.release(), std::move(reservation));
    }

    /// Reads the body of a request. While there is no memory for it, nothing is read, so that the
    /// caller sends no more.
    asio::awaitable<boost::system::error_code> readBody(Parser &parser,
                                                        BodyReservation &reservation)
    {
        boost::system::error_code ec;
        const auto length = parser.content_length();
        if (!co_await reserve(reservation, length ? std::size_t(*length) : 0)) {
            refuseForMemory(parser.get());
            co_return asio::error::no_memory;
        }
        m_continueExpected = beast::iequals(parser.get()[http::field::expect], "100-continue");
        writeCompletedAnswers();
        while (!ec && !parser.is_done()) {
            co_await http::async_read_some(m_socket, m_buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            // A body without a length grows by doubling, which copies it.
            const std::size_t bytes = parser.get().body().size();
            if (!ec && !length && !co_await reserve(reservation, 2 * bytes)) {
                refuseForMemory(parser.get());
                ec = asio::error::no_memory;
            }
        }
        m_continueExpected = false;
        co_return ec;
    }

    /// Reserves memory for a body, and waits for it up to MaxMemoryWait.
    /// \return false if there is none.
    asio::awaitable<bool> reserve(BodyReservation &reservation, std::size_t bytes)
    {
        const TimePoint waitUntil = m_context->executor.now() + MaxMemoryWait;
        while (!reservation.grow(bytes)) {
            if (m_context->executor.now() >= waitUntil || !m_socket.is_open()) {
                co_return false;
            }
            m_context->bodyBudget->waitForRelease([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->m_readerWakeup.cancel();
                }
            });
            boost::system::error_code ec;
            m_readerWakeup.expires_at(waitUntil);
            co_await m_readerWakeup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        co_return true;
    }

    void armTimer(Duration timeout)
    {
        m_timedOut = false;
        m_context->executor.cancel(m_timer);
        m_timer = m_context->executor.scheduleAfter(timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->timedOut();
            }
        });
    }

    void timedOut()
    {
        if (m_phase == ReadPhase::Idle && isAnswering()) {
            if (m_writer.isWriting() && !m_writer.takeProgress()) {
                // The caller has read nothing for the whole time.
                m_readEnded = true;
                connectionLost();
                return;
            }
            armTimer(m_context->limits.idleTimeout);
            return;
        }
        // A read that has just completed cannot be cancelled, and the request may go on with
        // another one.
        armTimer(m_context->limits.headerTimeout);
        m_timedOut = true;
        boost::system::error_code ec;
        m_socket.cancel(ec);
    }

    void readFailed(boost::system::error_code ec)
    {
        m_readEnded = true;
        if (m_lingering || ec == asio::error::no_memory) {
            // drainInput() reads on, or readBody() has refused the request.
        } else if (m_phase == ReadPhase::Idle && (m_timedOut || m_closing) && !isAnswering()) {
            closeGracefully();
        } else if (m_timedOut) {
            addRefusal(Reason::RequestTimeout);
        } else if (ec == http::error::header_limit) {
            addRefusal(Reason::HeaderTooLarge);
        } else if (ec == http::error::body_limit) {
            addRefusal(Reason::BodyTooLarge);
        } else if (ec.category() == make_error_code(http::error::bad_method).category()
                   && ec != http::error::end_of_stream && ec != http::error::partial_message) {
            addRefusal(Reason::BadHeader);
        } else if (m_writer.isWriting()
                   && (ec == http::error::end_of_stream || ec == http::error::partial_message)) {
            // The caller sends no more, but may still read the answers that are ready. If it has
            // closed the connection, the write fails.
            m_pending.cancelUnanswered(m_context->calls);
            m_closing = true;
            m_closeAfterWrite = m_pending.empty();
        } else {
            connectionLost();
        }
    }

    /// Cancels all calls of the connection after the caller has closed it or it has failed.
    void connectionLost()
    {
        m_pending.cancelAll(m_context->calls);
        boost::system::error_code ec;
        m_socket.close(ec);
        m_readerWakeup.cancel();
    }

    /// Refuses a request whose body is not read.
    void refuseForMemory(const http::fields &fields)
    {
        std::vector<HeaderField> headers = endToEndHeaders(fields);
        HeaderFault fault;
        std::error_code ec;
        const CallEnvelope call = m_context->dialect.decodeCall(headers, fault, ec);
        CallRefused refused {Outcome::NotRun, Reason::Overloaded, {}};
        if (call.deadline) {
            refused.retryAfter = retryAfter(*call.deadline, m_context->random);
        }
        m_context->telemetry.send(LogEvent {"call.refused", call.requestId, "reason=body-memory"});
        auto exchange = std::make_shared<Exchange>();
        exchange->requestId = call.requestId;
        exchange->keepAlive = false;
        m_pending.add(exchange);
        completeCall(exchange, refused);
    }

    void addRefusal(Reason reason)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->keepAlive = false;
        m_pending.add(exchange);
        completeCall(exchange, CallRefused {Outcome::NotRun, reason, {}});
    }

    void requestReceived(http::request<http::string_body> message, BodyReservation reservation)
    {
        const bool draining = m_closing || m_context->draining;
        if (m_closeAfterWrite || (draining && !m_pending.empty())) {
            // The answer that closes the connection implies that this request was not processed.
            // If such requests were processed, a caller that always has another request in flight
            // could keep its connection open forever.
            m_readEnded = true;
            return;
        }
        if (m_pending.endWithClose()) {
            // Callers treat it as not processed, too. Reading goes on, since the caller may leave.
            return;
        }
        m_receivedRequest = true;
        auto exchange = std::make_shared<Exchange>();
        exchange->headRequest = message.method() == http::verb::head;
        exchange->keepAlive = message.keep_alive();
        m_pending.add(exchange);
        if (m_context->servesControl && stdView(message.target()).starts_with(ControlPrefix)) {
            forwardToControl(exchange, std::move(message));
        } else {
            submit(exchange, std::move(message), std::move(reservation));
        }
    }

    void submit(const std::shared_ptr<Exchange> &exchange, http::request<http::string_body> message,
                BodyReservation reservation)
    {
        SubmitCall call;
        call.received = m_context->executor.now();
        auto head = std::make_shared<CallHead>();
        head->method = std::string(message.method_string());
        head->target = std::string(message.target());
        head->headers = endToEndHeaders(message);
        HeaderFault fault;
        std::error_code ec;
        call.call = m_context->dialect.decodeCall(head->headers, fault, ec);
        exchange->requestId = call.call.requestId;
        if (ec) {
            m_context->telemetry.send(LogEvent {"call.malformed", call.call.requestId,
                                                "header=" + fault.header + " rule=" + fault.rule});
            completeCall(exchange, CallRefused {Outcome::NotRun, Reason::BadHeader, {}});
            return;
        }
        exchange->number = ++m_context->lastCallNumber;
        call.number = exchange->number;
        call.head = std::move(head);
        call.body = BodyReservation::makeBody(std::move(message.body()), std::move(reservation));
        call.reply = Reply<CallResult>(
            m_context->executor,
            [self = shared_from_this(), exchange](std::optional<CallResult> result) {
                self->completeCall(exchange,
                                   result ? std::move(*result)
                                          : CallRefused {Outcome::Unknown, Reason::Stopping, {}});
            });
        m_context->calls.send(std::move(call));
    }

    void forwardToControl(const std::shared_ptr<Exchange> &exchange,
                          http::request<http::string_body> message)
    {
        const std::string_view path = stdView(message.target()).substr(ControlPrefix.size());
        const std::size_t queryStart = std::min(path.find('?'), path.size());
        ControlRequest request;
        request.method = std::string(message.method_string());
        request.path = path.substr(0, queryStart);
        request.query = path.substr(std::min(queryStart + 1, path.size()));
        request.body = std::move(message.body());
        request.reply = Reply<ControlAnswer>(
            m_context->executor,
            [self = shared_from_this(), exchange](std::optional<ControlAnswer> answer) {
                self->completeControl(exchange,
                                      answer.value_or(ControlAnswer {
                                          404, "application/json", R"({"error":"unknown path"})"}));
            });
        std::error_code ignored;
        const auto control = m_context->directory.find<ControlRequest>(
            ServiceName::control(request.path), ignored);
        control.send(std::move(request));
    }

    void completeControl(const std::shared_ptr<Exchange> &exchange, ControlAnswer answer)
    {
        exchange->makeAnswerBytes = [answer = std::move(answer)](const AnswerFraming &framing) {
            return serializeControlAnswer(answer, framing);
        };
        writeCompletedAnswers();
    }

    void completeCall(const std::shared_ptr<Exchange> &exchange, CallResult result)
    {
        exchange->makeAnswerBytes
            = [this, result = std::move(result),
               requestId = exchange->requestId](const AnswerFraming &framing) {
                  return std::holds_alternative<CallAnswered>(result)
                      ? serializeAnswer(m_context->dialect, std::get<CallAnswered>(result), framing)
                      : serializeRefusal(m_context->dialect, std::get<CallRefused>(result),
                                         requestId, framing);
              };
        writeCompletedAnswers();
    }

    /// Writes all completed answers that are next in order, and after them the interim answer that
    /// the caller of the request that is being read waits for.
    void writeCompletedAnswers()
    {
        if (m_writer.isWriting() || !m_socket.is_open()) {
            return;
        }
        std::string bytes;
        bool close = false;
        while (const std::shared_ptr<Exchange> exchange
               = close ? nullptr : m_pending.takeAnswered()) {
            // Callers treat requests after a closing answer as not processed, so only the last
            // answer may close the connection.
            const bool last = m_pending.empty() && (m_readEnded || m_buffer.size() == 0);
            close = !exchange->keepAlive || (last && (m_closing || m_context->draining));
            bytes += exchange->makeAnswerBytes({exchange->headRequest, !close});
        }
        m_readerWakeup.cancel();
        m_closeAfterWrite = m_closeAfterWrite || close;
        m_readEnded = m_readEnded || close;
        if (m_continueExpected && m_pending.empty() && !m_closeAfterWrite) {
            m_continueExpected = false;
            bytes += ContinueAnswer;
        }
        if (!bytes.empty()) {
            m_writer.write(std::move(bytes), shared_from_this());
        }
    }

    void answersWritten()
    {
        if (m_closeAfterWrite) {
            closeGracefully();
            return;
        }
        writeCompletedAnswers();
        if (m_closing && isIdle()) {
            close();
        }
    }

    /// Shuts down the sending side and discards input for a while before the socket is closed.
    void closeGracefully()
    {
        m_readEnded = true;
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_socket.cancel(ec);
        if (std::exchange(m_lingering, true)) {
            return;
        }
        asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()] { return self->drainInput(); },
            asio::detached);
    }

    asio::awaitable<void> drainInput()
    {
        const TimerId timer
            = m_context->executor.scheduleAfter(LingerTimeout, [weak = weak_from_this()] {
                  if (const auto self = weak.lock()) {
                      boost::system::error_code ec;
                      self->m_socket.close(ec);
                  }
              });
        boost::system::error_code ec;
        std::array<char, 4096> buf {};
        while (!ec && m_socket.is_open()) {
            co_await m_socket.async_read_some(asio::buffer(buf),
                                              asio::redirect_error(asio::use_awaitable, ec));
        }
        m_context->executor.cancel(timer);
        m_socket.close(ec);
    }

    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::shared_ptr<SessionContext> m_context;
    /// Never expires; cancelled to resume the reader when the number of pipelined requests falls.
    asio::steady_timer m_readerWakeup;
    PendingAnswers m_pending;
    AnswerWriter m_writer;
    const TimePoint m_openedAt = m_context->executor.now();
    TimerId m_timer = 0;
    ReadPhase m_phase = ReadPhase::Idle;
    /// True while the caller of the request that is being read waits for "100 Continue".
    bool m_continueExpected = false;
    bool m_closing = false;
    bool m_receivedRequest = false;
    bool m_closeAfterWrite = false;
    bool m_readEnded = false;
    /// True if the timer has expired since it was armed for the read in progress.
    bool m_timedOut = false;
    bool m_lingering = false;
};

} // namespace

void SessionContext::removeSession(SessionHandle *session)
{
    sessions.erase(session);
    if (sessions.empty() && onAllSessionsEnded) {
        executor.post(std::exchange(onAllSessionsEnded, nullptr));
    }
}

void startSession(tcp::socket socket, std::shared_ptr<SessionContext> context)
{
    std::make_shared<Session>(std::move(socket), std::move(context))->start();
}

} // namespace Coltsfootwell::Internal
