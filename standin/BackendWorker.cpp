#include "standin/BackendWorker.h"

#include "standin/BackendAnnouncer.h"
#include "standin/BackendFaultJson.h"
#include "standin/BackendQuery.h"
#include "wire/HeaderNames.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <optional>

namespace Coltsfootwell::Standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

constexpr std::uint64_t MaxBodyBytes = 64ULL << 20;
constexpr std::uint64_t MaxAnswerBytes = 64ULL << 20;
constexpr std::size_t StreamPieceBytes = 64 * 1024;
/// Beast reads no more at once than the buffer can hold, which is 512 bytes without a reservation.
constexpr std::size_t ReadBufferBytes = 64 * 1024;

/// Headers that a nested call passes on; the key belongs to the outer call alone.
constexpr std::array PassedHeaders {Header::HomeRegions, Header::Customer, Header::Depth,
                                    Header::TraceParent};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::string textOf(const Request &request, std::string_view name)
{
    const auto value = request[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::string_view viewOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string hashText(std::string_view bytes)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text.data();
}

/// Reads the deadline header; the header is in ms.
std::optional<TimePoint> deadlineOf(const Request &request, TimePoint received)
{
    const std::string text = textOf(request, Header::Deadline);
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return received + std::chrono::milliseconds(std::atoll(text.c_str()));
}

/// \return status of the answer; 0 when it was lost.
asio::awaitable<unsigned> callNested(const BackendOptions &options, std::string target,
                                     const Request &outer, std::optional<TimePoint> deadline)
{
    boost::system::error_code ec;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    Request request(http::verb::get, target, 11);
    for (const std::string_view name : PassedHeaders) {
        if (const std::string value = textOf(outer, name); !value.empty()) {
            request.set(beast::string_view(name.data(), name.size()), value);
        }
    }
    if (deadline) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - now());
        if (left.count() <= 0) {
            co_return 0;
        }
        request.set(beast::string_view(Header::Deadline.data(), Header::Deadline.size()),
                    std::to_string(left.count()));
        stream.expires_at(*deadline);
    }
    request.prepare_payload();
    co_await stream.async_connect(endpointFromText(options.daemon),
                                  asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    if (!ec) {
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec ? 0 : parser.get().result_int();
}

} // namespace

/// One connection to the server.
class BackendSession : public std::enable_shared_from_this<BackendSession>
{
public:
    BackendSession(tcp::socket socket, std::shared_ptr<BackendShared> shared)
        : m_stream(std::move(socket)), m_shared(std::move(shared))
    {
        m_buffer.reserve(ReadBufferBytes);
        m_shared->sessions.insert(this);
    }
    ~BackendSession() { m_shared->sessions.erase(this); }

    void silence() { m_silent = true; }

    void close()
    {
        boost::system::error_code ec;
        m_stream.socket().close(ec);
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        bool open = true;
        while (open && !m_silent) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            boost::system::error_code ec;
            co_await http::async_read(m_stream, m_buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            const Request request = parser.release();
            if (!m_silent) {
                open = co_await serve(request);
            }
        }
        // g++ 12 evaluates co_await in "a || co_await b" and in loop conditions whatever a is, so
        // awaits stand in statements of their own.
        bool held = m_silent;
        while (held) {
            held = co_await waitHangup();
        }
        close();
    }

private:
    asio::awaitable<bool> serve(const Request &request)
    {
        const std::string_view target = viewOf(request.target());
        const std::string_view path = target.substr(0, target.find('?'));
        if (path == "/load" && request.method() == http::verb::get) {
            co_return co_await serveLoad(request);
        }
        if (path == "/fault" && request.method() == http::verb::post) {
            co_return co_await serveFault(request);
        }
        if (path == "/drain" && request.method() == http::verb::post) {
            json::object body {{"draining", true}};
            const bool open = co_await writeJson(request, http::status::ok, std::move(body));
            m_shared->drain();
            co_return open;
        }
        co_return co_await serveCall(request);
    }

    asio::awaitable<bool> serveLoad(const Request &request)
    {
        const BackendModel &model = m_shared->model;
        const Condition condition = model.condition(now());
        note("load", {}, conditionName(condition));
        if (condition == Condition::Fallen) {
            co_return false;
        }
        json::object body {{"state", conditionName(condition)},
                           {"inUse", model.reportedInUse(now())},
                           {"slots", m_shared->options.slots},
                           {"connections", m_shared->sessions.size()}};
        co_return co_await writeJson(request, http::status::ok, std::move(body));
    }

    asio::awaitable<bool> serveFault(const Request &request)
    {
        JsonFault fault;
        const FaultCommand command
            = decodeFaultCommand(request.body(), m_shared->model.faults, fault);
        if (!fault.rule.empty()) {
            json::object body {{"path", fault.path}, {"value", fault.value}, {"rule", fault.rule}};
            co_return co_await writeJson(request, http::status::bad_request, std::move(body));
        }
        m_shared->model.faults = command.faults;
        if (command.turnCold) {
            m_shared->model.turnCold();
        }
        json::object body {{"set", true}};
        const bool open = co_await writeJson(request, http::status::ok, std::move(body));
        if (command.silence) {
            for (BackendSession *session : m_shared->sessions) {
                session->silence();
            }
        }
        co_return open;
    }

    asio::awaitable<bool> serveCall(const Request &request)
    {
        BackendModel &model = m_shared->model;
        const TimePoint received = now();
        if (m_shared->random.uniform() < model.faults.failFastShare) {
            json::object body {{"error", "failed fast"}};
            co_return co_await writeJson(request, http::status::internal_server_error,
                                         std::move(body));
        }
        const Entry entry = model.enter(received);
        if (entry == Entry::Fall) {
            note("fell", factsOf(request), conditionName(model.condition(received)));
            fall();
            co_return false;
        }
        if (entry == Entry::Shed) {
            Response answer(http::status::service_unavailable, 11);
            answer.set("Coltsfootwell-Outcome", "not-run");
            answer.body() = "all slots are in use\n";
            co_return co_await write(request, std::move(answer));
        }
        co_return co_await runCall(request, received);
    }

    /// A server that falls over closes every connection and answers nothing.
    void fall()
    {
        const std::set<BackendSession *> sessions = m_shared->sessions;
        for (BackendSession *session : sessions) {
            session->close();
        }
    }

    asio::awaitable<bool> runCall(const Request &request, TimePoint received)
    {
        BackendModel &model = m_shared->model;
        const RunFacts facts = factsOf(request);
        note("begin", facts, conditionName(model.condition(received)));
        const std::optional<TimePoint> deadline = deadlineOf(request, received);
        const TimePoint finish = received + model.serviceTime(m_shared->random);
        const bool late = deadline && finish > *deadline;
        const bool present = co_await work(late ? *deadline : finish);
        unsigned nested = 0;
        const std::string nestedTarget = queryValue(viewOf(request.target()), "nested");
        if (present && !late && !nestedTarget.empty()) {
            nested = co_await callNested(m_shared->options, nestedTarget, request, deadline);
        }
        model.leave(present && !late, now());
        note("end", facts, !present ? "cancelled" : late ? "deadline" : "done");
        m_shared->runEnded();
        if (!present) {
            co_return false;
        }
        if (late) {
            json::object body {{"error", "the deadline has passed"}};
            co_return co_await writeJson(request, http::status::gateway_timeout, std::move(body));
        }
        if (model.faults.loseAnswers > 0) {
            --model.faults.loseAnswers;
            co_return false;
        }
        if (m_silent) {
            co_return true;
        }
        co_return co_await answerCall(request, facts, nested);
    }

    RunFacts factsOf(const Request &request) const
    {
        const std::string_view target = viewOf(request.target());
        return {++m_shared->lastRun,
                std::string(target),
                std::string(viewOf(request.method_string())),
                textOf(request, Header::Request),
                queryValue(target, "order"),
                textOf(request, Header::Depth),
                textOf(request, Header::HomeRegions)};
    }

    void note(std::string_view event, const RunFacts &facts, std::string_view state)
    {
        m_shared->history.write(event, facts, state, m_shared->model.inUse(), now());
    }

    /// \return false when the connection was closed, which cancels the work.
    asio::awaitable<bool> work(TimePoint until)
    {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(m_stream.get_executor(), until);
        if (m_buffer.size() > 0) {
            co_await timer.async_wait(asio::use_awaitable);
            co_return true;
        }
        const auto first = co_await (timer.async_wait(asio::use_awaitable) || waitHangup());
        if (first.index() == 0) {
            co_return true;
        }
        if (!std::get<1>(first)) {
            co_return false;
        }
        // The next request waits already; a close behind it shows only when it is read.
        co_await timer.async_wait(asio::use_awaitable);
        co_return true;
    }

    /// \return true when bytes are waiting, false when the other side has closed.
    asio::awaitable<bool> waitHangup()
    {
        boost::system::error_code ec;
        co_await m_stream.socket().async_wait(tcp::socket::wait_read,
                                              asio::redirect_error(asio::use_awaitable, ec));
        char byte = 0;
        std::size_t n = 0;
        if (!ec) {
            // A silent connection discards what arrives, so that the wait does not return at once.
            const int flags = m_silent ? 0 : asio::socket_base::message_peek;
            n = m_stream.socket().receive(asio::buffer(&byte, 1), flags, ec);
        }
        co_return !ec && n > 0;
    }

    asio::awaitable<bool> answerCall(const Request &request, const RunFacts &facts, unsigned nested)
    {
        const std::string_view target = viewOf(request.target());
        Response answer(http::status::ok, 11);
        json::object echo {{"service", m_shared->options.service},
                           {"run", facts.run},
                           {"order", facts.order},
                           {"length", request.body().size()},
                           {"hash", hashText(request.body())}};
        if (nested != 0 || !queryValue(target, "nested").empty()) {
            echo["nested"] = nested;
        }
        answer.body() = json::serialize(echo);
        const std::uint64_t bytes = queryNumber(target, "bytes", 0);
        if (bytes > 0) {
            answer.set("Standin-Echo", answer.body());
            answer.body().assign(std::min(bytes, MaxAnswerBytes), 'c');
        }
        answer.set(http::field::content_type, bytes > 0 ? "text/plain" : "application/json");
        if (m_shared->model.faults.cutAfterBytes >= 0) {
            co_return co_await writeCut(std::move(answer));
        }
        if (queryNumber(target, "stream", 0) != 0) {
            co_return co_await writePieces(request, std::move(answer));
        }
        co_return co_await write(request, std::move(answer));
    }

    /// Writes the head with the full length and only the beginning of the body.
    asio::awaitable<bool> writeCut(Response answer)
    {
        boost::system::error_code ec;
        answer.prepare_payload();
        http::response_serializer<http::string_body> serializer(answer);
        co_await http::async_write_header(m_stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        const auto limit = static_cast<std::size_t>(m_shared->model.faults.cutAfterBytes);
        const std::size_t n = std::min(limit, answer.body().size());
        co_await asio::async_write(m_stream, asio::buffer(answer.body().data(), n),
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return false;
    }

    asio::awaitable<bool> writePieces(const Request &request, Response answer)
    {
        boost::system::error_code ec;
        http::response<http::empty_body> head(http::status::ok, 11);
        for (const auto &field : answer) {
            head.insert(field.name_string(), field.value());
        }
        head.keep_alive(request.keep_alive());
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer(head);
        co_await http::async_write_header(m_stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        const std::string &body = answer.body();
        for (std::size_t at = 0; at < body.size() && !ec; at += StreamPieceBytes) {
            const std::size_t n = std::min(StreamPieceBytes, body.size() - at);
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(&body[at], n)),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        if (!ec) {
            co_await asio::async_write(m_stream, http::make_chunk_last(),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        co_return !ec && request.keep_alive();
    }

    asio::awaitable<bool> writeJson(const Request &request, http::status status,
                                    json::object object)
    {
        Response answer(status, 11);
        answer.set(http::field::content_type, "application/json");
        answer.body() = json::serialize(object);
        co_return co_await write(request, std::move(answer));
    }

    asio::awaitable<bool> write(const Request &request, Response answer)
    {
        boost::system::error_code ec;
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(m_stream, answer, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec && request.keep_alive();
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<BackendShared> m_shared;
    bool m_silent = false;
};

asio::awaitable<void> acceptCalls(tcp::acceptor &acceptor, std::shared_ptr<BackendShared> shared)
{
    boost::system::error_code ec;
    while (acceptor.is_open()) {
        tcp::socket socket
            = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), ec);
        auto session = std::make_shared<BackendSession>(std::move(socket), shared);
        if (shared->model.condition(now()) != Condition::Fallen) {
            asio::co_spawn(
                acceptor.get_executor(), [session] { return session->run(); }, asio::detached);
        }
    }
}

} // namespace Coltsfootwell::Standin
