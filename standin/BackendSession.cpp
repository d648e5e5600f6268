#include "standin/BackendSession.h"

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

/// Maximum size of the body of a call.
constexpr std::uint64_t MaxBodyBytes = 64ULL << 20;
/// Maximum size of the body of an answer.
constexpr std::uint64_t MaxAnswerBytes = 64ULL << 20;
/// Size of the chunks of a streamed answer.
constexpr std::size_t StreamChunkBytes = 64 * 1024;
/// Reserved size of the read buffer. Beast limits each read to the capacity of the buffer, which is
/// 512 bytes without a reservation.
constexpr std::size_t ReadBufferBytes = 64 * 1024;

/// Headers that are propagated to nested calls. The request id is not propagated, because it
/// identifies an attempt of the outer call only.
constexpr std::array PropagatedHeaders {Header::HomeRegions, Header::Customer, Header::Depth,
                                        Header::TraceParent};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::string headerValue(const Request &request, std::string_view name)
{
    const auto value = request[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::string_view stdView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// \return the 64-bit XXH64 hash in hexadecimal digits.
std::string hexDigest(std::string_view bytes)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text.data();
}

/// \return the deadline from the header, which states the remaining milliseconds; empty if it is
/// missing or malformed.
std::optional<TimePoint> parseDeadline(const Request &request, TimePoint received)
{
    const std::string text = headerValue(request, Header::Deadline);
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return received + std::chrono::milliseconds(std::atoll(text.c_str()));
}

/// \brief Sends a nested GET to the daemon.
/// \return HTTP status of the answer; 0 if none arrived before the deadline.
asio::awaitable<unsigned> sendNestedCall(const BackendOptions &options, std::string target,
                                         const Request &outer, std::optional<TimePoint> deadline)
{
    boost::system::error_code ec;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    Request request(http::verb::get, target, 11);
    for (const std::string_view name : PropagatedHeaders) {
        if (const std::string value = headerValue(outer, name); !value.empty()) {
            request.set(beast::string_view(name.data(), name.size()), value);
        }
    }
    if (deadline) {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - now());
        if (remaining.count() <= 0) {
            co_return 0;
        }
        request.set(beast::string_view(Header::Deadline.data(), Header::Deadline.size()),
                    std::to_string(remaining.count()));
        stream.expires_at(*deadline);
    }
    request.prepare_payload();
    co_await stream.async_connect(parseTcpEndpoint(options.daemon),
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

/// Serves the requests of one connection.
class BackendSession : public std::enable_shared_from_this<BackendSession>
{
public:
    BackendSession(tcp::socket socket, std::shared_ptr<SharedBackendState> shared)
        : m_stream(std::move(socket)), m_shared(std::move(shared))
    {
        m_buffer.reserve(ReadBufferBytes);
        m_shared->sessions.insert(this);
    }
    ~BackendSession() { m_shared->sessions.erase(this); }

    void stopResponding() { m_unresponsive = true; }

    void close()
    {
        boost::system::error_code ec;
        m_stream.socket().close(ec);
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        bool open = true;
        while (open && !m_unresponsive) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            boost::system::error_code ec;
            co_await http::async_read(m_stream, m_buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            const Request request = parser.release();
            if (!m_unresponsive) {
                open = co_await serve(request);
            }
        }
        // g++ 12 evaluates co_await in "a || co_await b" and in loop conditions regardless of a, so
        // each co_await is a statement of its own.
        bool connected = m_unresponsive;
        while (connected) {
            connected = co_await waitForDataOrHangup();
        }
        close();
    }

private:
    asio::awaitable<bool> serve(const Request &request)
    {
        const std::string_view target = stdView(request.target());
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
            m_shared->drainRequested();
            co_return open;
        }
        co_return co_await serveCall(request);
    }

    asio::awaitable<bool> serveLoad(const Request &request)
    {
        const BackendModel &model = m_shared->model;
        const ServerState state = model.state(now());
        recordEvent("load", {}, serverStateName(state));
        if (state == ServerState::Crashed) {
            co_return false;
        }
        json::object body {{"state", serverStateName(state)},
                           {"inUse", model.reportedInUse(now())},
                           {"slots", m_shared->options.slots},
                           {"connections", m_shared->sessions.size()}};
        co_return co_await writeJson(request, http::status::ok, std::move(body));
    }

    asio::awaitable<bool> serveFault(const Request &request)
    {
        JsonFault violation;
        const FaultCommand command
            = decodeFaultCommand(request.body(), m_shared->model.faults, violation);
        if (!violation.rule.empty()) {
            json::object body {
                {"path", violation.path}, {"value", violation.value}, {"rule", violation.rule}};
            co_return co_await writeJson(request, http::status::bad_request, std::move(body));
        }
        m_shared->model.faults = command.faults;
        if (command.becomeCold) {
            m_shared->model.becomeCold();
        }
        json::object body {{"set", true}};
        const bool open = co_await writeJson(request, http::status::ok, std::move(body));
        if (command.stopResponding) {
            for (BackendSession *session : m_shared->sessions) {
                session->stopResponding();
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
        const AdmissionVerdict verdict = model.admit(received);
        if (verdict == AdmissionVerdict::Crash) {
            recordEvent("fell", makeRunRecord(request), serverStateName(model.state(received)));
            closeAllConnections();
            co_return false;
        }
        if (verdict == AdmissionVerdict::Shed) {
            Response answer(http::status::service_unavailable, 11);
            answer.set("Coltsfootwell-Outcome", "not-run");
            answer.body() = "all slots are in use\n";
            co_return co_await write(request, std::move(answer));
        }
        co_return co_await runCall(request, received);
    }

    /// Closes the connections of all clients, as a crash of the process would.
    void closeAllConnections()
    {
        const std::set<BackendSession *> sessions = m_shared->sessions;
        for (BackendSession *session : sessions) {
            session->close();
        }
    }

    asio::awaitable<bool> runCall(const Request &request, TimePoint received)
    {
        BackendModel &model = m_shared->model;
        const RunRecord run = makeRunRecord(request);
        recordEvent("begin", run, serverStateName(model.state(received)));
        const std::optional<TimePoint> deadline = parseDeadline(request, received);
        const TimePoint workEnd = received + model.serviceTime(m_shared->random);
        const bool pastDeadline = deadline && workEnd > *deadline;
        const bool clientConnected = co_await simulateWork(pastDeadline ? *deadline : workEnd);
        unsigned nestedStatus = 0;
        const std::string nestedTarget = queryValue(stdView(request.target()), "nested");
        if (clientConnected && !pastDeadline && !nestedTarget.empty()) {
            nestedStatus
                = co_await sendNestedCall(m_shared->options, nestedTarget, request, deadline);
        }
        model.release(clientConnected && !pastDeadline, now());
        recordEvent("end", run,
                    !clientConnected   ? "cancelled"
                        : pastDeadline ? "deadline"
                                       : "done");
        m_shared->runEnded();
        if (!clientConnected) {
            co_return false;
        }
        if (pastDeadline) {
            json::object body {{"error", "the deadline has passed"}};
            co_return co_await writeJson(request, http::status::gateway_timeout, std::move(body));
        }
        if (model.faults.answersToDrop > 0) {
            --model.faults.answersToDrop;
            co_return false;
        }
        if (m_unresponsive) {
            co_return true;
        }
        co_return co_await answerCall(request, run, nestedStatus);
    }

    /// \return a record with a new run id.
    RunRecord makeRunRecord(const Request &request) const
    {
        const std::string_view target = stdView(request.target());
        return {++m_shared->lastRunId,
                std::string(target),
                std::string(stdView(request.method_string())),
                headerValue(request, Header::Request),
                queryValue(target, "order"),
                headerValue(request, Header::Depth),
                headerValue(request, Header::HomeRegions)};
    }

    void recordEvent(std::string_view event, const RunRecord &run, std::string_view state)
    {
        m_shared->history.write(event, run, state, m_shared->model.inUse(), now());
    }

    /// Waits until the work of a call ends or the client closes the connection.
    /// \return false if the connection was closed, which cancels the call.
    asio::awaitable<bool> simulateWork(TimePoint end)
    {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(m_stream.get_executor(), end);
        if (m_buffer.size() > 0) {
            co_await timer.async_wait(asio::use_awaitable);
            co_return true;
        }
        const auto completed
            = co_await (timer.async_wait(asio::use_awaitable) || waitForDataOrHangup());
        if (completed.index() == 0) {
            co_return true;
        }
        if (!std::get<1>(completed)) {
            co_return false;
        }
        // A pipelined request is pending, so a close is only detected when that request is read.
        co_await timer.async_wait(asio::use_awaitable);
        co_return true;
    }

    /// \return true if bytes can be read, false if the peer has closed the connection.
    asio::awaitable<bool> waitForDataOrHangup()
    {
        boost::system::error_code ec;
        co_await m_stream.socket().async_wait(tcp::socket::wait_read,
                                              asio::redirect_error(asio::use_awaitable, ec));
        char byte = 0;
        std::size_t n = 0;
        if (!ec) {
            // An unresponsive connection discards received bytes; otherwise the next wait would
            // return immediately.
            const int flags = m_unresponsive ? 0 : asio::socket_base::message_peek;
            n = m_stream.socket().receive(asio::buffer(&byte, 1), flags, ec);
        }
        co_return !ec && n > 0;
    }

    asio::awaitable<bool> answerCall(const Request &request, const RunRecord &run,
                                     unsigned nestedStatus)
    {
        const std::string_view target = stdView(request.target());
        Response answer(http::status::ok, 11);
        json::object echo {{"service", m_shared->options.service},
                           {"run", run.id},
                           {"order", run.orderId},
                           {"length", request.body().size()},
                           {"hash", hexDigest(request.body())}};
        if (nestedStatus != 0 || !queryValue(target, "nested").empty()) {
            echo["nested"] = nestedStatus;
        }
        answer.body() = json::serialize(echo);
        const std::uint64_t bytes = queryNumber(target, "bytes", 0);
        if (bytes > 0) {
            answer.set("Standin-Echo", answer.body());
            answer.body().assign(std::min(bytes, MaxAnswerBytes), 'c');
        }
        answer.set(http::field::content_type, bytes > 0 ? "text/plain" : "application/json");
        repeatRequestId(request, answer);
        if (m_shared->model.faults.truncateAfterBytes >= 0) {
            co_return co_await writeTruncated(std::move(answer));
        }
        if (queryNumber(target, "stream", 0) != 0) {
            co_return co_await writeChunked(request, std::move(answer));
        }
        co_return co_await write(request, std::move(answer));
    }

    /// Writes a header with the full content length, but only the first bytes of the body.
    asio::awaitable<bool> writeTruncated(Response answer)
    {
        boost::system::error_code ec;
        answer.prepare_payload();
        http::response_serializer<http::string_body> serializer(answer);
        co_await http::async_write_header(m_stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        const auto limit = static_cast<std::size_t>(m_shared->model.faults.truncateAfterBytes);
        const std::size_t n = std::min(limit, answer.body().size());
        co_await asio::async_write(m_stream, asio::buffer(answer.body().data(), n),
                                   asio::redirect_error(asio::use_awaitable, ec));
        co_return false;
    }

    asio::awaitable<bool> writeChunked(const Request &request, Response answer)
    {
        boost::system::error_code ec;
        http::response<http::empty_body> header(http::status::ok, 11);
        for (const auto &field : answer) {
            header.insert(field.name_string(), field.value());
        }
        header.keep_alive(request.keep_alive());
        header.chunked(true);
        http::response_serializer<http::empty_body> serializer(header);
        co_await http::async_write_header(m_stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        const std::string &body = answer.body();
        for (std::size_t offset = 0; offset < body.size() && !ec; offset += StreamChunkBytes) {
            const std::size_t n = std::min(StreamChunkBytes, body.size() - offset);
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(&body[offset], n)),
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

    static void repeatRequestId(const Request &request, Response &answer)
    {
        if (const std::string id = headerValue(request, Header::Request); !id.empty()) {
            answer.set(beast::string_view(Header::Request.data(), Header::Request.size()), id);
        }
    }

    asio::awaitable<bool> write(const Request &request, Response answer)
    {
        repeatRequestId(request, answer);
        boost::system::error_code ec;
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(m_stream, answer, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec && request.keep_alive();
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<SharedBackendState> m_shared;
    bool m_unresponsive = false;
};

asio::awaitable<void> acceptConnections(tcp::acceptor &acceptor,
                                        std::shared_ptr<SharedBackendState> shared)
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
        if (shared->model.state(now()) != ServerState::Crashed) {
            asio::co_spawn(
                acceptor.get_executor(), [session] { return session->run(); }, asio::detached);
        }
    }
}

} // namespace Coltsfootwell::Standin
