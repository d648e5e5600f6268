#include "services/CallerSession.h"

#include "services/HopSpan.h"
#include "services/HttpIo.h"
#include "services/ServiceNames.h"
#include "wire/HeaderNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Coltsfootwell::Internal {

namespace {

using asio::ip::tcp;
using RequestParser = http::request_parser<http::buffer_body>;

constexpr std::string_view ControlPrefix = "/coltsfootwell/";
constexpr std::uint64_t MaxHeldBodyBytes = 64 * 1024;
constexpr std::uint64_t MaxControlBodyBytes = 8 * 1024 * 1024;
constexpr std::chrono::seconds IdleTimeout {60};
constexpr std::chrono::seconds ProgressTimeout {30};
/// How long unread bytes of a refused request are read before the connection is closed. Closing at
/// once would reset the connection and could destroy the refusal on its way.
constexpr std::chrono::seconds LingerTime {1};

/// One connection and its state.
class Session final : public SessionHandle, public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<SessionContext> context)
        : m_stream(std::move(socket)), m_context(std::move(context))
    {
        m_context->sessions.insert(this);
    }

    ~Session() override { m_context->sessionEnded(this); }

    void start()
    {
        asio::co_spawn(
            m_stream.get_executor(), [self = shared_from_this()] { return self->run(); },
            asio::detached);
    }

    /// Closes the connection when it is between two requests; a request in progress ends first.
    void close() override
    {
        m_closing = true;
        if (!m_busy) {
            boost::system::error_code ec;
            m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        }
    }

private:
    /// A body that is read while the call is running.
    struct BodyState
    {
        bool done = true;
        bool whole = true;
        std::function<void(bool)> onDone;

        void end()
        {
            done = true;
            if (onDone) {
                onDone(whole);
            }
        }
    };

    asio::awaitable<void> run()
    {
        bool open = true;
        while (open) {
            open = co_await serveOne();
        }
        boost::system::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        co_await drainInput();
        m_stream.close();
    }

    asio::awaitable<void> drainInput()
    {
        boost::system::error_code ec;
        std::array<char, 4096> buf {};
        m_stream.expires_after(LingerTime);
        while (!ec) {
            co_await m_stream.async_read_some(asio::buffer(buf),
                                              asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    asio::awaitable<bool> serveOne()
    {
        boost::system::error_code ec;
        RequestParser parser;
        parser.body_limit(boost::none);
        parser.header_limit(MaxHeaderBytes);
        m_busy = false;
        if (m_closing && m_buffer.size() == 0) {
            co_return false;
        }
        m_stream.expires_after(IdleTimeout);
        co_await http::async_read_header(m_stream, m_buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return co_await answerUnreadable(ec);
        }
        m_busy = true;
        const std::string_view target(parser.get().target().data(), parser.get().target().size());
        if (target.starts_with(ControlPrefix)) {
            co_return co_await serveControl(parser);
        }
        co_return co_await serveCall(parser);
    }

    /// \return false: the connection is of no further use.
    asio::awaitable<bool> answerUnreadable(boost::system::error_code ec)
    {
        const bool malformed = ec.category() == make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
        if (malformed) {
            m_keepAlive = false;
            co_await writeRefusal({Outcome::NotRun, Reason::BadHeader}, "request: " + ec.message());
        }
        co_return false;
    }

    asio::awaitable<bool> serveControl(RequestParser &parser)
    {
        std::string body;
        if (!co_await readHeldBody(parser, MaxControlBodyBytes, body)) {
            m_keepAlive = false;
            co_await writeRefusal({Outcome::NotRun, Reason::BodyTooLarge},
                                  "the body must have at most 8388608 bytes");
            co_return false;
        }
        m_keepAlive = parser.get().keep_alive();
        ControlRequest request;
        request.method = std::string(parser.get().method_string());
        const std::string_view target(parser.get().target().data(), parser.get().target().size());
        const std::string_view path = target.substr(ControlPrefix.size());
        const std::size_t question = std::min(path.find('?'), path.size());
        request.path = path.substr(0, question);
        request.query = path.substr(std::min(question + 1, path.size()));
        request.body = std::move(body);
        boost::system::error_code ec;
        request.peerAddress = m_stream.socket().remote_endpoint(ec).address().to_string();
        std::error_code unknown;
        const auto owner = m_context->directory.find<ControlRequest>(
            ServiceName::control(request.path), unknown);
        std::optional<ControlAnswer> answer
            = ControlAnswer {404, "application/json", R"({"error":"unknown path"})"};
        if (!unknown) {
            // Coroutine lambdas may not outlive their captures, so the message is moved into a
            // shared holder.
            auto held = std::make_shared<ControlRequest>(std::move(request));
            std::function<void(Reply<ControlAnswer>)> send
                = [owner, held](Reply<ControlAnswer> reply) {
                      held->reply = std::move(reply);
                      owner.send(std::move(*held));
                  };
            answer = co_await ask<ControlAnswer>(m_context->executor, std::move(send));
        }
        if (!answer) {
            answer
                = ControlAnswer {503, "application/json", R"({"error":"the service has stopped"})"};
        }
        co_return co_await writeText(answer->status, answer->contentType, answer->body, {});
    }

    asio::awaitable<bool> readHeldBody(RequestParser &parser, std::uint64_t limit,
                                       std::string &body)
    {
        if (parser.content_length().value_or(0) > limit) {
            co_return false;
        }
        boost::system::error_code ec;
        if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue"
            && !co_await writeContinue()) {
            co_return false;
        }
        std::array<char, 16 * 1024> buf {};
        while (!parser.is_done()) {
            parser.get().body().data = buf.data();
            parser.get().body().size = buf.size();
            m_stream.expires_after(ProgressTimeout);
            co_await http::async_read_some(m_stream, m_buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            if (ec && ec != http::error::need_buffer) {
                co_return false;
            }
            body.append(buf.data(), buf.size() - parser.get().body().size);
            if (body.size() > limit) {
                co_return false;
            }
        }
        co_return true;
    }

    asio::awaitable<bool> writeContinue()
    {
        boost::system::error_code ec;
        http::response<http::empty_body> message(http::status::continue_, 11);
        m_stream.expires_after(ProgressTimeout);
        co_await http::async_write(m_stream, message,
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec;
    }

    asio::awaitable<bool> serveCall(RequestParser &parser)
    {
        const TimePoint received = m_context->executor.now();
        auto head = std::make_shared<CallHead>();
        head->method = std::string(parser.get().method_string());
        head->target = std::string(parser.get().target());
        head->headers = passedHeaders(parser.get());
        m_keepAlive = parser.get().keep_alive();
        m_headRequest = head->method == "HEAD";

        HeaderFault fault;
        std::error_code ec;
        CallEnvelope envelope = decodeEnvelope(head->headers, fault, ec);
        m_echo = envelope.attempt ? attemptText(envelope.attempt->attempt) : std::string();
        m_span.begin(envelope, *head);
        if (ec) {
            m_keepAlive = false;
            co_return co_await writeRefusal({Outcome::NotRun, Reason::BadHeader},
                                            fault.header + ' ' + fault.rule);
        }

        if (m_context->finishing && !envelope.attempt && envelope.depth == 0) {
            m_keepAlive = false;
            if (!envelope.key.empty()) {
                // An earlier call with the same key may have run.
                co_return co_await submitCall(std::move(head), std::move(envelope), CallBody {},
                                              received, Reason::Stopping);
            }
            co_return co_await writeRefusal({Outcome::NotRun, Reason::Stopping}, {});
        }

        CallBody body;
        auto bodyState = std::make_shared<BodyState>();
        const auto length = parser.content_length();
        if (length ? *length <= MaxHeldBodyBytes : parser.is_done()) {
            auto bytes = std::make_shared<std::string>();
            if (!co_await readHeldBody(parser, MaxHeldBodyBytes, *bytes)) {
                co_return false;
            }
            body.bytes = std::move(bytes);
        } else {
            body.stream = std::make_shared<BodyPipe>(m_context->executor);
            body.streamLength = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
            bodyState->done = false;
            asio::co_spawn(
                m_stream.get_executor(),
                [self = shared_from_this(), pipe = body.stream, bodyState, &parser] {
                    return self->pumpRequest(parser, pipe, bodyState);
                },
                asio::detached);
        }
        const BodyPipePtr stream = body.stream;
        const bool isAttempt = envelope.attempt.has_value();
        const bool open = isAttempt
            ? co_await runAttempt(std::move(head), std::move(envelope), std::move(body), received)
            : co_await submitCall(std::move(head), std::move(envelope), std::move(body), received);
        if (stream && !bodyState->done) {
            // The parser lives in this frame, so the pump must have ended before it goes.
            stream->abandon();
            m_stream.cancel();
            std::function<void(std::function<void(bool)>)> start
                = [bodyState](std::function<void(bool)> done) {
                      bodyState->onDone = std::move(done);
                  };
            co_await awaitCallback<bool>(std::move(start));
            co_return false;
        }
        co_return open && bodyState->whole;
    }

    asio::awaitable<void> pumpRequest(RequestParser &parser, BodyPipePtr pipe,
                                      std::shared_ptr<BodyState> state)
    {
        boost::system::error_code ec;
        state->whole = false;
        if (co_await firstRead(*pipe)) {
            const bool expects = parser.get()[http::field::expect] == "100-continue";
            if (!expects || co_await writeContinue()) {
                state->whole = co_await pumpBody<true>(m_stream, m_buffer, parser, *pipe,
                                                       ProgressTimeout, ec);
            }
        }
        if (state->whole) {
            watchHangup();
        }
        state->end();
    }

    asio::awaitable<bool> runAttempt(std::shared_ptr<CallHead> head, CallEnvelope envelope,
                                     CallBody body, TimePoint received)
    {
        auto message = std::make_shared<RunAttempt>();
        const AttemptId attempt = envelope.attempt->attempt;
        message->target.daemon = envelope.attempt->target;
        message->deadline = received + envelope.deadline.value_or(std::chrono::seconds(1));
        message->head = std::move(head);
        message->envelope = std::move(envelope);
        const bool held = !body.stream;
        message->body = std::move(body);
        m_hangup
            = [context = m_context, attempt] { context->backend.send(CancelAttempt {attempt}); };
        if (held) {
            watchHangup();
        }
        std::function<void(Reply<AttemptResult>)> send
            = [context = m_context, message](Reply<AttemptResult> reply) {
                  message->reply = std::move(reply);
                  context->backend.send(std::move(*message));
              };
        std::optional<AttemptResult> result
            = co_await ask<AttemptResult>(m_context->executor, std::move(send));
        if (result) {
            if (auto *answered = std::get_if<AttemptAnswered>(&*result)) {
                if (answered->load) {
                    answered->head.headers.push_back(
                        {std::string(Header::Load), loadText(*answered->load)});
                }
                co_return co_await writeAnswer(std::move(answered->head), answered->body,
                                               DaemonId());
            }
            if (const auto *refused = std::get_if<AttemptRefused>(&*result)) {
                co_return co_await writeRefusal({Outcome::NotRun, refused->reason}, {},
                                                refused->load, refused->version);
            }
        }
        co_return co_await writeRefusal({Outcome::Unknown, Reason::AnswerLost}, {});
    }

    asio::awaitable<bool> submitCall(std::shared_ptr<CallHead> head, CallEnvelope envelope,
                                     CallBody body, TimePoint received,
                                     std::optional<Reason> refusal = std::nullopt)
    {
        const std::uint64_t number = ++m_context->lastCall;
        auto message = std::make_shared<SubmitCall>();
        message->number = number;
        message->head = std::move(head);
        message->envelope = std::move(envelope);
        const bool held = !body.stream;
        message->body = std::move(body);
        message->received = received;
        message->refusal = refusal;
        m_hangup = [context = m_context, number] { context->calls.send(CancelCall {number}); };
        if (held) {
            watchHangup();
        }
        std::function<void(Reply<CallResult>)> send
            = [context = m_context, message](Reply<CallResult> reply) {
                  message->reply = std::move(reply);
                  context->calls.send(std::move(*message));
              };
        std::optional<CallResult> result
            = co_await ask<CallResult>(m_context->executor, std::move(send));
        if (!result) {
            co_return co_await writeRefusal({Outcome::Unknown, Reason::Stopping}, {});
        }
        if (auto *answered = std::get_if<CallAnswered>(&*result)) {
            co_return co_await writeAnswer(std::move(answered->head), answered->body,
                                           answered->servedBy);
        }
        const auto &refused = std::get<CallRefused>(*result);
        co_return co_await writeRefusal(refused, {});
    }

    void endSpan(Outcome outcome, std::optional<Reason> reason, unsigned status)
    {
        if (auto span = m_span.end(outcome, reason, status)) {
            m_context->telemetry.send(std::move(*span));
        }
    }

    /// Tells the owner of the call when the other side closes the connection before it has its
    /// answer.
    void watchHangup()
    {
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code ec) {
                if (ec || !self->m_hangup) {
                    return;
                }
                char byte = 0;
                boost::system::error_code peek;
                self->m_stream.socket().non_blocking(true, peek);
                const std::size_t n = self->m_stream.socket().receive(
                    asio::buffer(&byte, 1), asio::socket_base::message_peek, peek);
                const bool gone = peek ? peek != asio::error::would_block : n == 0;
                if (gone) {
                    self->m_hangup();
                    self->m_hangup = nullptr;
                }
            });
    }

    template <typename Message>
    void setCommonHeaders(Message &message)
    {
        message.keep_alive(m_keepAlive && !m_closing && !m_context->leaving);
        if (!m_echo.empty()) {
            message.set(name(Header::Attempt), m_echo);
        }
    }

    static beast::string_view name(std::string_view text) { return {text.data(), text.size()}; }

    asio::awaitable<bool> writeRefusal(CallRefused refused, std::string detail,
                                       std::optional<LoadReport> load = std::nullopt,
                                       ConfigurationVersion version = 0)
    {
        std::vector<HeaderField> headers;
        if (version != 0) {
            headers.push_back({std::string(Header::Version), std::to_string(version)});
        }
        headers.push_back(
            {std::string(Header::Outcome), std::string(outcomeName(refused.outcome))});
        headers.push_back({std::string(Header::Reason), std::string(reasonName(refused.reason))});
        if (load) {
            headers.push_back({std::string(Header::Load), loadText(*load)});
        }
        endSpan(refused.outcome, refused.reason, reasonStatus(refused.reason));
        std::string text = std::string(reasonName(refused.reason)) + " ("
            + std::string(outcomeName(refused.outcome)) + ")"
            + (detail.empty() ? "" : ": " + detail) + "\n";
        m_hangup = nullptr;
        co_return co_await writeText(reasonStatus(refused.reason), "text/plain", text, headers);
    }

    asio::awaitable<bool> writeText(unsigned status, std::string_view type, std::string_view text,
                                    std::span<const HeaderField> headers)
    {
        boost::system::error_code ec;
        http::response<http::span_body<const char>> message;
        message.version(11);
        message.result(status);
        message.set(http::field::content_type, name(type));
        for (const HeaderField &field : headers) {
            message.insert(field.name, field.value);
        }
        setCommonHeaders(message);
        message.content_length(text.size());
        if (!m_headRequest) {
            message.body() = beast::span<const char>(text.data(), text.size());
        }
        m_stream.expires_after(ProgressTimeout);
        co_await writeHeld<false>(m_stream, message, ec);
        co_return !ec && message.keep_alive();
    }

    template <typename Body>
    http::response<Body> answerMessage(const AnswerHead &head, const DaemonId &servedBy)
    {
        http::response<Body> message;
        message.version(11);
        message.result(head.status);
        for (const HeaderField &field : head.headers) {
            message.insert(field.name, field.value);
        }
        if (!servedBy.name.empty()) {
            message.set(name(Header::Outcome), name(outcomeName(Outcome::Run)));
            message.set(name(Header::ServedBy), servedBy.name);
        }
        setCommonHeaders(message);
        if (head.length) {
            message.content_length(*head.length);
        } else {
            message.chunked(true);
        }
        return message;
    }

    /// Writes an answer; a cut answer closes the connection, so that it never looks whole.
    asio::awaitable<bool> writeAnswer(AnswerHead head, BodyPipePtr pipe, DaemonId servedBy)
    {
        boost::system::error_code ec;
        BodyChunk first = co_await readChunk(*pipe);
        const bool bodiless = m_headRequest || head.status == 204 || head.status == 304;
        const bool single = first.kind == BodyChunk::Kind::End
            || (head.length && first.kind == BodyChunk::Kind::Bytes
                && first.bytes.size() == *head.length);
        bool keep = false;
        if (first.kind == BodyChunk::Kind::Cut) {
            co_return co_await writeRefusal({Outcome::Unknown, Reason::AnswerLost}, {});
        }
        if (single || bodiless) {
            auto message = answerMessage<http::span_body<const char>>(head, servedBy);
            if (!bodiless) {
                message.content_length(first.bytes.size());
                message.body() = beast::span<const char>(first.bytes.data(), first.bytes.size());
            }
            keep = message.keep_alive();
            m_stream.expires_after(ProgressTimeout);
            co_await writeHeld<false>(m_stream, message, ec);
        } else {
            auto message = answerMessage<http::buffer_body>(head, servedBy);
            keep = message.keep_alive();
            co_await writeFromPipe<false>(m_stream, message, std::move(first), *pipe,
                                          ProgressTimeout, ec);
        }
        m_hangup = nullptr;
        pipe->abandon();
        endSpan(ec ? Outcome::Unknown : Outcome::Run,
                ec ? std::optional(Reason::AnswerLost) : std::nullopt, head.status);
        if (ec) {
            resetStream(m_stream);
        }
        co_return !ec && keep;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<SessionContext> m_context;
    std::function<void()> m_hangup;
    std::string m_echo;
    HopSpan m_span {m_context->executor, m_context->random};
    bool m_keepAlive = true;
    bool m_headRequest = false;
    bool m_busy = false;
    bool m_closing = false;
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
