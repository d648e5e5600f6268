#include "standin/BackendAnnouncer.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <stdexcept>

namespace Coltsfootwell::Standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Delay before an announcement that failed or was lost is repeated.
constexpr std::chrono::milliseconds AnnounceRetryDelay {100};
/// Interval of the health requests that detect a restart of the daemon.
constexpr std::chrono::seconds DaemonCheckInterval {1};
/// Maximum time to connect to the daemon, and maximum time of one request and its answer.
constexpr std::chrono::seconds DaemonTimeout {2};
constexpr std::size_t MaxPortDigits = 5;

/// \brief Sends a request on a connected stream.
/// \return HTTP status of the answer; 0 if the exchange failed or timed out.
asio::awaitable<unsigned> sendRequest(beast::tcp_stream &stream, http::verb verb,
                                      const char *target, std::string body)
{
    boost::system::error_code ec;
    http::request<http::string_body> request(verb, target, 11);
    request.body() = std::move(body);
    request.prepare_payload();
    stream.expires_after(DaemonTimeout);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    if (!ec) {
        co_await http::async_read(stream, buffer, answer,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec ? 0 : answer.result_int();
}

asio::awaitable<bool> connectAndAnnounce(beast::tcp_stream &stream, const BackendOptions &options,
                                         std::uint16_t port, AnnouncedState state)
{
    boost::system::error_code ec;
    stream.expires_after(DaemonTimeout);
    co_await stream.async_connect(parseTcpEndpoint(options.daemon),
                                  asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return false;
    }
    std::string body
        = encodeAnnouncement({options.service, port, options.slots, options.connections, state});
    const unsigned status = co_await sendRequest(stream, http::verb::post,
                                                 "/coltsfootwell/announce", std::move(body));
    co_return status == 200;
}

} // namespace

asio::ip::tcp::endpoint parseTcpEndpoint(std::string_view text)
{
    const std::size_t colon = std::min(text.rfind(':'), text.size());
    const std::string digits(text.substr(std::min(colon + 1, text.size())));
    if (digits.empty() || digits.size() > MaxPortDigits
        || digits.find_first_not_of("0123456789") != std::string::npos) {
        throw std::invalid_argument("the address must have the form \"IP address:port\"");
    }
    const int port = std::stoi(digits);
    return {asio::ip::make_address(std::string(text.substr(0, colon))),
            static_cast<std::uint16_t>(port)};
}

asio::awaitable<bool> announceOnce(const BackendOptions &options, std::uint16_t port,
                                   AnnouncedState state)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    co_return co_await connectAndAnnounce(stream, options, port, state);
}

asio::awaitable<void> maintainAnnouncement(const BackendOptions &options, std::uint16_t port,
                                           const bool &draining)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!draining) {
        beast::tcp_stream stream(timer.get_executor());
        bool registered = co_await connectAndAnnounce(stream, options, port, AnnouncedState::Ready);
        // An answer on the connection of the announcement shows that the daemon has not restarted
        // since it accepted the announcement.
        while (registered && !draining) {
            timer.expires_after(DaemonCheckInterval);
            co_await timer.async_wait(asio::use_awaitable);
            registered
                = co_await sendRequest(stream, http::verb::get, "/coltsfootwell/health", {}) != 0;
        }
        timer.expires_after(AnnounceRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace Coltsfootwell::Standin
