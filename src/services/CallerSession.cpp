#include "services/CallerSession.h"

#include "services/CallerAnswer.h"
#include "services/ControlMessages.h"
#include "services/HttpIo.h"
#include "services/ServiceNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <deque>

namespace Coltsfootwell::Internal {

namespace {

constexpr std::string_view ControlPrefix = "/coltsfootwell/";
/// Requests of one connection that are worked on at the same time.
constexpr std::size_t MaxPipelined = 64;
/// How long unread bytes are read after the last answer. Closing at once would reset the connection
/// and could destroy the answer on its way.
constexpr std::chrono::seconds LingerTime {1};
/// How long a stop waits for the first request of an open connection. A caller that has just
/// connected is about to send one, and could not tell whether it was read.
constexpr std::chrono::seconds FirstRequestTime {1};

/// Why the connection waits for bytes.
enum class ReadPhase {
    Idle,
    Request,
};

/// One request and its answer, which is written in the order of the requests.
struct Exchange
{
    std::uint64_t number = 0;
    std::string requestId;
    bool headRequest = false;
    bool keepAlive = true;
    bool done = false;
    /// Makes the bytes of the answer.
    std::function<std::string(const AnswerFraming &)> answer;
};

class Session final : public SessionHandle, public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<SessionContext> context)
        : m_socket(std::move(socket)), m_context(std::move(context)),
          m_room(m_socket.get_executor())
    {
        m_context->sessions.insert(this);
    }

    ~Session() override
    {
        m_context->executor.cancel(m_timer);
        m_context->sessionEnded(this);
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
        if (const Duration wait = firstRequestWait(); wait > Duration::zero()) {
            armTimer(wait);
            return;
        }
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_socket.cancel(ec);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// \return true when no request is under way, also none whose first bytes wait in the kernel.
    bool isIdle()
    {
        boost::system::error_code ec;
        return m_exchanges.empty() && m_phase == ReadPhase::Idle && m_buffer.size() == 0
            && m_socket.available(ec) == 0;
    }

    /// \return time for which a stop waits for the first request of this connection.
    Duration firstRequestWait() const
    {
        if (m_hadRequest) {
            return {};
        }
        return std::max(m_opened + FirstRequestTime - m_context->executor.now(), Duration::zero());
    }

    asio::awaitable<void> run()
    {
        while (!m_readEnded) {
            while (m_exchanges.size() >= MaxPipelined) {
                boost::system::error_code ec;
                m_room.expires_at(std::chrono::steady_clock::time_point::max());
                co_await m_room.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            }
            co_await readRequest();
        }
        m_context->executor.cancel(m_timer);
    }

    asio::awaitable<void> readRequest()
    {
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_context->limits.headerBytes));
        parser.body_limit(m_context->limits.bodyBytes);
        boost::system::error_code ec;
        if (m_buffer.size() == 0) {
            m_phase = ReadPhase::Idle;
            armTimer(m_closing ? firstRequestWait() : Duration(m_context->limits.idleTimeout));
            // Waits for the first byte apart, so that an idle connection and a slow request differ.
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
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")
                && m_exchanges.empty()) {
                constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await asio::async_write(m_socket, asio::buffer(Continue),
                                           asio::redirect_error(asio::use_awaitable, ec));
            }
            if (!ec) {
                co_await http::async_read(m_socket, m_buffer, parser,
                                          asio::redirect_error(asio::use_awaitable, ec));
            }
        }
        m_context->executor.cancel(m_timer);
        if (ec) {
            readFailed(ec);
            co_return;
        }
        m_phase = ReadPhase::Idle;
        accepted(parser.release());
    }

    void armTimer(Duration timeout)
    {
        m_context->executor.cancel(m_timer);
        m_timer = m_context->executor.scheduleAfter(timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->timedOut();
            }
        });
    }

    void timedOut()
    {
        if (m_phase == ReadPhase::Idle && !m_exchanges.empty()) {
            armTimer(m_context->limits.idleTimeout);
            return;
        }
        m_timedOut = true;
        boost::system::error_code ec;
        m_socket.cancel(ec);
    }

    void readFailed(boost::system::error_code ec)
    {
        m_readEnded = true;
        if (m_phase == ReadPhase::Idle && (m_timedOut || m_closing) && m_exchanges.empty()) {
            endAfterAnswers();
        } else if (m_timedOut) {
            addRefusal(Reason::RequestTimeout);
        } else if (ec == http::error::header_limit) {
            addRefusal(Reason::HeaderTooLarge);
        } else if (ec == http::error::body_limit) {
            addRefusal(Reason::BodyTooLarge);
        } else if (ec.category() == make_error_code(http::error::bad_method).category()
                   && ec != http::error::end_of_stream && ec != http::error::partial_message) {
            addRefusal(Reason::BadHeader);
        } else {
            callerGone();
        }
    }

    /// The caller has closed the connection or it broke: nobody waits for the answers.
    void callerGone()
    {
        for (const auto &exchange : m_exchanges) {
            if (!exchange->done && exchange->number != 0) {
                m_context->calls.send(CancelCall {exchange->number});
            }
        }
        m_exchanges.clear();
        boost::system::error_code ec;
        m_socket.close(ec);
    }

    void addRefusal(Reason reason)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->keepAlive = false;
        m_exchanges.push_back(exchange);
        finish(exchange, CallRefused {Outcome::NotRun, reason, {}});
    }

    void accepted(http::request<http::string_body> message)
    {
        const bool leaving = m_closing || m_context->leaving;
        if (m_closeAfter || (leaving && !m_exchanges.empty())) {
            // The caller learns from the closing answer that this request was not read. A caller
            // that always has a further request under way would otherwise never be let go.
            m_readEnded = true;
            return;
        }
        m_hadRequest = true;
        auto exchange = std::make_shared<Exchange>();
        exchange->headRequest = message.method() == http::verb::head;
        exchange->keepAlive = message.keep_alive();
        m_exchanges.push_back(exchange);
        if (m_context->servesControl && stdView(message.target()).starts_with(ControlPrefix)) {
            askControl(exchange, std::move(message));
        } else {
            submit(exchange, std::move(message));
        }
    }

    void submit(const std::shared_ptr<Exchange> &exchange, http::request<http::string_body> message)
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
            finish(exchange, CallRefused {Outcome::NotRun, Reason::BadHeader, {}});
            return;
        }
        exchange->number = ++m_context->lastCall;
        call.number = exchange->number;
        call.head = std::move(head);
        call.body = std::make_shared<const std::string>(std::move(message.body()));
        call.reply = Reply<CallResult>(
            m_context->executor,
            [self = shared_from_this(), exchange](std::optional<CallResult> result) {
                self->finish(exchange,
                             result ? std::move(*result)
                                    : CallRefused {Outcome::Unknown, Reason::Stopping, {}});
            });
        m_context->calls.send(std::move(call));
    }

    void askControl(const std::shared_ptr<Exchange> &exchange,
                    http::request<http::string_body> message)
    {
        const std::string_view path = stdView(message.target()).substr(ControlPrefix.size());
        const std::size_t question = std::min(path.find('?'), path.size());
        ControlRequest request;
        request.method = std::string(message.method_string());
        request.path = path.substr(0, question);
        request.query = path.substr(std::min(question + 1, path.size()));
        request.body = std::move(message.body());
        request.reply = Reply<ControlAnswer>(
            m_context->executor,
            [self = shared_from_this(), exchange](std::optional<ControlAnswer> answer) {
                self->finishControl(exchange,
                                    answer.value_or(ControlAnswer {404, "application/json",
                                                                   R"({"error":"unknown path"})"}));
            });
        std::error_code unknown;
        const auto control = m_context->directory.find<ControlRequest>(
            ServiceName::control(request.path), unknown);
        control.send(std::move(request));
    }

    void finishControl(const std::shared_ptr<Exchange> &exchange, ControlAnswer answer)
    {
        exchange->answer = [answer = std::move(answer)](const AnswerFraming &form) {
            return serializeControlAnswer(answer, form);
        };
        exchange->done = true;
        flush();
    }

    void finish(const std::shared_ptr<Exchange> &exchange, CallResult result)
    {
        exchange->answer = [this, result = std::move(result),
                            requestId = exchange->requestId](const AnswerFraming &form) {
            return std::holds_alternative<CallAnswered>(result)
                ? serializeAnswer(m_context->dialect, std::get<CallAnswered>(result), form)
                : serializeRefusal(m_context->dialect, std::get<CallRefused>(result), requestId,
                                   form);
        };
        exchange->done = true;
        flush();
    }

    /// Writes the answers that are next in order.
    void flush()
    {
        if (m_writing || !m_socket.is_open()) {
            return;
        }
        bool close = false;
        while (!m_exchanges.empty() && m_exchanges.front()->done && !close) {
            const std::shared_ptr<Exchange> exchange = m_exchanges.front();
            m_exchanges.pop_front();
            // Requests behind a closing answer count as unread, so only the last answer closes.
            const bool last = m_exchanges.empty() && (m_readEnded || m_buffer.size() == 0);
            close = !exchange->keepAlive || (last && (m_closing || m_context->leaving));
            m_out += exchange->answer({exchange->headRequest, !close});
        }
        m_room.cancel();
        m_closeAfter = m_closeAfter || close;
        m_readEnded = m_readEnded || close;
        if (!m_out.empty()) {
            write();
        }
    }

    void write()
    {
        m_writing = true;
        auto bytes = std::make_shared<std::string>(std::exchange(m_out, {}));
        asio::async_write(
            m_socket, asio::buffer(*bytes),
            [self = shared_from_this(), bytes](boost::system::error_code ec, std::size_t) {
                self->m_writing = false;
                if (ec) {
                    self->callerGone();
                } else if (self->m_closeAfter) {
                    self->endAfterAnswers();
                } else {
                    self->flush();
                }
            });
    }

    /// Closes the connection gracefully: what the caller still sends is read for a while.
    void endAfterAnswers()
    {
        m_readEnded = true;
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_socket.cancel(ec);
        if (std::exchange(m_lingering, true)) {
            return;
        }
        asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()] { return self->linger(); },
            asio::detached);
    }

    asio::awaitable<void> linger()
    {
        const TimerId timer
            = m_context->executor.scheduleAfter(LingerTime, [weak = weak_from_this()] {
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
    /// Wakes the reader when an exchange has ended.
    asio::steady_timer m_room;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    std::string m_out;
    const TimePoint m_opened = m_context->executor.now();
    TimerId m_timer = 0;
    ReadPhase m_phase = ReadPhase::Idle;
    bool m_writing = false;
    bool m_closing = false;
    bool m_hadRequest = false;
    bool m_closeAfter = false;
    bool m_readEnded = false;
    bool m_timedOut = false;
    bool m_lingering = false;
};

} // namespace

void SessionContext::sessionEnded(SessionHandle *session)
{
    sessions.erase(session);
    if (sessions.empty() && stopped) {
        executor.post(std::exchange(stopped, nullptr));
    }
}

void startSession(tcp::socket socket, std::shared_ptr<SessionContext> context)
{
    std::make_shared<Session>(std::move(socket), std::move(context))->start();
}

} // namespace Coltsfootwell::Internal
