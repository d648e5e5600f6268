// Guards against a planned stop that closes a connection although a request on it has arrived or is
// about to arrive: a caller that has just connected loses its connection, even if its call runs.
#include "support/CallersFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// Time within which a caller that has connected must send its first request; the same as for
/// establishing the connection.
constexpr std::chrono::seconds FirstRequestTimeout {1};
/// Maximum time of the rest of a stop: the time for which unread input is discarded, plus a margin.
constexpr std::chrono::seconds MaxStopTime {2};

} // namespace

TEST_CASE("a stop answers a request that has arrived unread on an idle connection")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    fixture.stop();
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(fixture.answered == 1);
    fixture.runFor(MaxStopTime);
    CHECK(fixture.stopped);
}

TEST_CASE("a stop answers a second request that has arrived unread")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CallersFixture::sendRequest(caller);
    fixture.stop();
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(fixture.answered == 2);
}

TEST_CASE("a stop waits for the first request of a new connection")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    fixture.stop();
    fixture.runFor(100ms);
    CallersFixture::sendRequest(caller);
    const std::string answer = fixture.received(caller);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    fixture.runFor(MaxStopTime);
    CHECK(fixture.stopped);
}

TEST_CASE("a stop does not wait for a connection that never sends a request")
{
    CallersFixture fixture;
    const tcp::socket idle = fixture.connect();
    tcp::socket active = fixture.connect();
    CallersFixture::sendRequest(active);
    CHECK(fixture.received(active).starts_with("HTTP/1.1 200"));
    fixture.stop();
    fixture.runFor(FirstRequestTimeout + MaxStopTime);
    CHECK(fixture.stopped);
}
