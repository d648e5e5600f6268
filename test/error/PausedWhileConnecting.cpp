// Guards against an order that is lost because the daemon stood still while it connected to the
// backend server: the timeout of the connect was due as well, and reset the connection after the
// order was sent.
#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "wire/OwnDialect.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <thread>

using namespace Coltsfootwell;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Accepts one connection in a thread of its own, reads a request and answers it.
class OneAnswerServer
{
public:
    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    void serve()
    {
        tcp::socket socket = m_acceptor.accept();
        boost::system::error_code ec;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
        receivedRequest = !ec;
        std::this_thread::sleep_for(20ms);
        boost::asio::write(
            socket,
            boost::asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
            ec);
    }

    bool receivedRequest = false;

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, {boost::asio::ip::address_v4::loopback(), 0}};
};

} // namespace

TEST_CASE("an order is answered although the daemon was paused while it connected")
{
    OneAnswerServer server;
    std::thread thread([&server] { server.serve(); });
    boost::asio::io_context context;
    AsioExecutor executor(context);
    ExchangeRequest request;
    request.method = "POST";
    request.target = "/orders";
    request.headers = {{"Host", "server"}};
    request.deadline = executor.now() + 5s;
    request.connectTimeout = 100ms;
    std::optional<ExchangeOutcome> outcome;
    std::make_shared<HttpExchange>(
        context, executor, std::make_shared<HttpPool>(context, server.endpoint()), ownDialect(),
        std::move(request), [] { return true; },
        [&](ExchangeOutcome ended) {
            outcome = std::move(ended);
            context.stop();
        })
        ->start();
    context.poll_one();
    // The connection is established and the timeout has passed before the process goes on.
    std::this_thread::sleep_for(200ms);
    context.run();
    thread.join();
    REQUIRE(outcome);
    CHECK(server.receivedRequest);
    CHECK(outcome->kind == ExchangeOutcome::Kind::Answered);
}
