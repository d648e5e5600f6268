// Guards against a backend server in trouble that sends bytes without end, in a head or a body: a
// daemon that keeps them runs out of memory, and calls beside it are lost.
#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "wire/OwnDialect.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace Coltsfootwell;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

auto into(boost::system::error_code &ec)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, ec);
}

/// Memory that a host's daemon may take for control and calls, see the target size.
constexpr std::uint64_t MaxBytesTogether = 32ULL << 20;
/// What the kernel and the last read take beside that.
constexpr std::uint64_t BytesUnderWay = 24ULL << 20;

/// Answers requests for "/whole" and sends bytes without end to all others.
class TroubledServer
{
public:
    /// \param head first bytes of each endless answer.
    /// \param repeated bytes that follow again and again.
    TroubledServer(boost::asio::io_context &context, std::string head, std::string repeated)
        : m_context(context),
          m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          m_head(std::move(head))
    {
        constexpr std::size_t ChunkBytes = 64 * 1024;
        while (m_chunk.size() < ChunkBytes) {
            m_chunk += repeated;
        }
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    std::uint64_t sent = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code ec;
        std::string request;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request),
                                               "\r\n\r\n", into(ec));
        if (request.starts_with("GET /whole ")) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer), into(ec));
            co_return;
        }
        co_await boost::asio::async_write(socket, boost::asio::buffer(m_head), into(ec));
        while (!ec) {
            sent += co_await boost::asio::async_write(socket, boost::asio::buffer(m_chunk),
                                                      into(ec));
        }
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_chunk;
};

struct Run
{
    std::optional<ExchangeOutcome> outcome;
    Duration took {};
};

/// Runs requests beside each other and returns how they ended.
std::vector<Run> runAll(boost::asio::io_context &context, const Endpoint &server,
                        const std::vector<std::string> &targets, Duration deadline)
{
    AsioExecutor executor(context);
    const auto pool = std::make_shared<HttpPool>(context, server);
    std::vector<Run> runs(targets.size());
    std::size_t open = runs.size();
    const TimePoint begin = executor.now();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        ExchangeRequest request;
        request.method = "GET";
        request.target = targets[i];
        request.headers = {{"Host", "server"}};
        request.deadline = begin + deadline;
        std::make_shared<HttpExchange>(
            context, executor, pool, ownDialect(), std::move(request), [] { return true; },
            [&, i](ExchangeOutcome outcome) {
                runs[i] = {std::move(outcome), executor.now() - begin};
                if (--open == 0) {
                    context.stop();
                }
            })
            ->start();
    }
    context.run();
    return runs;
}

} // namespace

TEST_CASE("a head without end is given up at once")
{
    for (const char *repeated : {"X-Field: value\r\n", "no line ends here "}) {
        CAPTURE(repeated);
        boost::asio::io_context context;
        TroubledServer server(context, "HTTP/1.1 200 OK\r\nX-First: ", repeated);
        const auto runs = runAll(context, server.endpoint(), {"/endless"}, 5s);
        CHECK(runs[0].outcome->kind == ExchangeOutcome::Kind::Lost);
        CHECK(runs[0].took < 2s);
        CHECK(server.sent < BytesUnderWay);
    }
}

TEST_CASE("bytes without end that are no answer are given up at once")
{
    boost::asio::io_context context;
    TroubledServer server(context, "", "these bytes are no answer\r\n");
    const auto runs = runAll(context, server.endpoint(), {"/endless"}, 5s);
    CHECK(runs[0].outcome->kind == ExchangeOutcome::Kind::Lost);
    CHECK(runs[0].took < 2s);
    CHECK(server.sent < BytesUnderWay);
}

TEST_CASE("bodies without end take bounded memory together, and whole answers arrive beside them")
{
    const std::vector<std::pair<std::string, std::string>> answers {
        {"HTTP/1.1 200 OK\r\n\r\n", "body "},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "400\r\n" + std::string(1024, 'b') + "\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "body "}};
    for (const auto &answer : answers) {
        CAPTURE(answer.first);
        boost::asio::io_context context;
        TroubledServer server(context, answer.first, answer.second);
        const std::vector<std::string> targets {"/1", "/2", "/3", "/whole", "/4", "/5", "/6"};
        const auto runs = runAll(context, server.endpoint(), targets, 20s);
        for (std::size_t i = 0; i < targets.size(); ++i) {
            CAPTURE(targets[i]);
            const bool whole = targets[i] == "/whole";
            CHECK(runs[i].outcome->kind
                  == (whole ? ExchangeOutcome::Kind::Answered : ExchangeOutcome::Kind::Lost));
        }
        // Each of the six may have been the longest once before it was given up.
        CHECK(server.sent < 6 * MaxBytesTogether / 2 + BytesUnderWay);
    }
}

TEST_CASE("a body that drips without end ends with the deadline")
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            boost::system::error_code ec;
            tcp::socket socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
            std::string bytes = "HTTP/1.1 200 OK\r\n\r\n";
            while (!ec) {
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), into(ec));
                bytes = "b";
                boost::asio::steady_timer timer(context, 20ms);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
        },
        boost::asio::detached);
    const Endpoint server {"127.0.0.1", acceptor.local_endpoint().port()};
    const auto runs = runAll(context, server, {"/endless"}, 300ms);
    CHECK(runs[0].outcome->kind == ExchangeOutcome::Kind::Lost);
    CHECK(runs[0].took < 1s);
}
