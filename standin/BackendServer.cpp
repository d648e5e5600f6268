// Stand-in for a backend server: announces itself to the daemon beside it, serves calls, and writes
// one JSON line for each run, so that checkers can compare what callers saw with what ran.
#include "wire/AnnouncementJson.h"
#include "wire/CallEnvelope.h"
#include "wire/HeaderNames.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace {

using namespace Coltsfootwell;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct Options
{
    std::string service = "service";
    std::string daemon = "127.0.0.1:7101";
    std::uint16_t port = 0;
    unsigned slots = 8;
    unsigned connections = 64;
    unsigned serviceMs = 2;
};

asio::awaitable<void> serve(tcp::socket socket, const Options &options)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    asio::steady_timer timer(stream.get_executor());
    boost::system::error_code ec;
    while (!ec) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(64ULL << 20);
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        timer.expires_after(std::chrono::milliseconds(options.serviceMs));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        http::response<http::string_body> answer(http::status::ok, 11);
        answer.body() = options.service + " " + std::to_string(parser.get().body().size()) + "\n";
        answer.keep_alive(parser.get().keep_alive());
        answer.prepare_payload();
        co_await http::async_write(stream, answer, asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> acceptAll(tcp::acceptor &acceptor, const Options &options)
{
    while (true) {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), options), asio::detached);
    }
}

asio::awaitable<void> announce(const Options &options, std::uint16_t port)
{
    const std::size_t colon = options.daemon.rfind(':');
    const auto target
        = tcp::endpoint(asio::ip::make_address(options.daemon.substr(0, colon)),
                        static_cast<std::uint16_t>(std::stoi(options.daemon.substr(colon + 1))));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    boost::system::error_code ec;
    do {
        ec = {};
        beast::tcp_stream stream(timer.get_executor());
        co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
        http::request<http::string_body> request(http::verb::post, "/coltsfootwell/announce", 11);
        request.body() = encodeAnnouncement(
            {options.service, port, options.slots, options.connections, AnnouncedState::Ready});
        request.prepare_payload();
        if (!ec) {
            co_await http::async_write(stream, request,
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        if (!ec) {
            co_await http::async_read(stream, buffer, answer,
                                      asio::redirect_error(asio::use_awaitable, ec));
        }
        if (ec) {
            timer.expires_after(std::chrono::milliseconds(100));
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    } while (ec);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in backend server for tests and demonstrations.");
    Options options;
    app.add_option("--service", options.service, "name of the service");
    app.add_option("--daemon", options.daemon, "address of the daemon beside it");
    app.add_option("--port", options.port, "port to listen on; 0 takes a free one");
    app.add_option("--slots", options.slots, "calls served at once");
    app.add_option("--service-ms", options.serviceMs, "time for one call in ms");
    CLI11_PARSE(app, argc, argv);

    asio::io_context context(1);
    tcp::acceptor acceptor(context,
                           tcp::endpoint(asio::ip::make_address("127.0.0.1"), options.port));
    asio::co_spawn(context, acceptAll(acceptor, options), asio::detached);
    asio::co_spawn(context, announce(options, acceptor.local_endpoint().port()), asio::detached);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
