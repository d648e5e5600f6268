// Guards against clients that open connections and leave them alone until the daemon has no
// descriptor left for other callers, its backend server and other daemons.
#include "decisions/ConnectionLimit.h"
#include "support/CallersFixture.h"

namespace Coltsfootwell::Testing {

namespace {

constexpr std::size_t MaxConnections = 4;

TimePoint at(int s)
{
    return TimePoint(std::chrono::seconds(s));
}

/// \return true if the service has closed the connection.
bool isClosed(tcp::socket &socket)
{
    boost::system::error_code ec;
    char byte = 0;
    socket.non_blocking(true);
    socket.read_some(boost::asio::buffer(&byte, 1), ec);
    return ec == boost::asio::error::eof;
}

} // namespace

TEST_CASE("Connections that have been idle longest make room")
{
    const ConnectionLimit limit(2);
    CHECK(limit.hasRoom(2));
    CHECK_FALSE(limit.hasRoom(3));
    using Indexes = std::vector<std::size_t>;
    // A busy connection stays, and one that closes anyway no longer counts.
    CHECK(limit.connectionsToClose(
              std::vector<ConnectionState> {{at(3)}, {}, {at(1)}, {at(2)}, {at(0), true}})
          == Indexes {2, 3});
    CHECK(limit.connectionsToClose(std::vector<ConnectionState> {{at(3)}, {at(1)}}).empty());
    CHECK(limit.connectionsToClose(std::vector<ConnectionState> {{}, {}, {}}).empty());
    CHECK(limit.connectionsToClose(std::vector<ConnectionState> {{}, {}, {}, {at(9)}})
          == Indexes {3});
}

TEST_CASE("Callers get a share of the descriptors, and the daemon keeps some")
{
    CHECK(ConnectionLimit::callerShare(4'100) == 3'075);
    CHECK(ConnectionLimit::callerShare(200) == 150);
}

TEST_CASE("A caller is served while others leave their connections alone")
{
    CallersFixture fixture(CallersSettings().maxRequestBytes, ownDialect(), MaxConnections);
    fixture.holdAnswers = true;
    tcp::socket busy = fixture.connect();
    CallersFixture::sendRequest(busy);
    std::vector<tcp::socket> idle;
    for (std::size_t n = 1; n < MaxConnections; ++n) {
        idle.push_back(fixture.connect());
    }
    REQUIRE(fixture.answered == 1);
    // Connections that are new may still be about to send their first request.
    fixture.runFor(1100ms);
    tcp::socket caller = fixture.connect();
    fixture.runFor(100ms);
    CHECK(isClosed(idle.front()));
    CHECK_FALSE(isClosed(idle.back()));
    CHECK_FALSE(isClosed(busy));
    fixture.holdAnswers = false;
    CallersFixture::sendRequest(caller);
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200 "));
    CHECK(fixture.answered == 2);
}

TEST_CASE("A connection waits while all others are busy")
{
    CallersFixture fixture(CallersSettings().maxRequestBytes, ownDialect(), 1);
    fixture.holdAnswers = true;
    tcp::socket first = fixture.connect();
    CallersFixture::sendRequest(first);
    tcp::socket second = fixture.connect();
    CallersFixture::sendRequest(second);
    tcp::socket waiting = fixture.connect();
    CallersFixture::sendRequest(waiting);
    fixture.runFor(300ms);
    CHECK(fixture.answered == 2);
    CHECK(std::ranges::count_if(fixture.logged,
                                [](const std::string &line) {
                                    return line.starts_with("accept.paused listener=callers");
                                })
          == 1);
    // The second connection is idle after its answer, and makes room.
    fixture.answerHeld();
    fixture.runFor(500ms);
    CHECK(fixture.answered == 3);
}

} // namespace Coltsfootwell::Testing
