// Guards against callers whose chunked bodies have trailers or chunk extensions without end, which
// the daemon would keep in memory.
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t EndlessBytes = 4 << 20;
/// More than the daemon keeps, and less than it may keep together with the sockets.
constexpr std::size_t AllowedBytes = 60'000;
const std::string ChunkedHead = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n";

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes) {
        all += text;
    }
    return all;
}

/// Sends as much as the daemon reads before it answers.
void sendUntilAnswered(SlowCaller &caller, std::string_view text)
{
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!text.empty() && caller.received.empty() && std::chrono::steady_clock::now() < end) {
        boost::system::error_code ec;
        text.remove_prefix(caller.socket.write_some(boost::asio::buffer(text), ec));
        caller.readFor(1ms);
    }
}

} // namespace

TEST_CASE("a trailer or an extension of a chunk without end is refused, and the next one is served")
{
    std::string rest;
    SUBCASE("fields")
    {
        rest = "0\r\n" + repeated("X-Field: value\r\n", EndlessBytes);
    }
    SUBCASE("one field")
    {
        rest = "0\r\nX-Field: " + std::string(EndlessBytes, 'v');
    }
    SUBCASE("an extension of the last chunk")
    {
        rest = "0;x=" + std::string(EndlessBytes, 'v');
    }
    SUBCASE("an extension of a chunk")
    {
        rest = "1;x=" + std::string(EndlessBytes, 'v');
    }
    CallersFixture fixture;
    SlowCaller caller(fixture);
    sendUntilAnswered(caller, ChunkedHead + rest);
    caller.readFor(1s);
    CHECK(caller.received.starts_with("HTTP/1.1 431"));
    CHECK(fixture.answered == 0);
    SlowCaller next(fixture);
    next.send(Request);
    next.readFor(1s, "done");
    CHECK(next.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("trailers and extensions inside the limit are read")
{
    CallersFixture fixture;
    SlowCaller caller(fixture);
    sendUntilAnswered(caller,
                      ChunkedHead + "1;x=" + std::string(AllowedBytes, 'v') + "\r\na\r\n0\r\n"
                          + repeated("X-Field: value\r\n", AllowedBytes) + "\r\n");
    caller.readFor(1s, "done");
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
}
