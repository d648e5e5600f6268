// Guards against a daemon that connects without a pause to a peer that accepts and resets each
// connection, as a relay does whose target is gone: thousands of connections a second.
#include "support/LinkClientFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr auto TestTime = 2s;
/// One connection each 150 ms, and a margin.
constexpr unsigned MaxConnections = 20;

} // namespace

TEST_CASE("connections that are reset before the hello are not repeated without a pause")
{
    LinkClientFixture fixture;
    unsigned accepted = 0;
    const std::function<void()> acceptNext = [&] {
        fixture.acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
            ++accepted;
            const auto kept = std::make_shared<tcp::socket>(std::move(socket));
            kept->async_wait(tcp::socket::wait_read, [kept](boost::system::error_code) {
                boost::system::error_code ec;
                kept->set_option(boost::asio::socket_base::linger(true, 0), ec);
                kept->close(ec);
            });
            acceptNext();
        });
    };
    acceptNext();
    fixture.sendOrder();
    const auto end = std::chrono::steady_clock::now() + TestTime;
    fixture.runUntil([&] { return std::chrono::steady_clock::now() >= end; });
    CHECK(accepted > 1);
    CHECK(accepted <= MaxConnections);
    // The order may have run, so that it is not reported as refused.
    CHECK_FALSE((fixture.result && std::holds_alternative<AttemptRefused>(*fixture.result)));
}
