// Guards against a timeout of one read that is applied to a later one: after the caller has left,
// its call goes on and gets a refusal beside it.
#include "support/CallersFixture.h"

#include <thread>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr auto HeaderTimeout = 200ms;
/// More than the daemon reads at once.
const std::string LongHeader = "X-Long: " + std::string(3000, 'x') + "\r\n";

/// Sends a request in two parts. The daemon stands still until the timeout of the first part has
/// passed and the second one has arrived.
tcp::socket sendBesideTimeout(CallersFixture &fixture, const std::string &secondPart)
{
    RequestLimits limits;
    limits.headerTimeout = HeaderTimeout;
    fixture.setLimits(limits);
    tcp::socket caller = fixture.connect();
    const std::string firstPart = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n";
    boost::asio::write(caller, boost::asio::buffer(firstPart));
    fixture.runFor(50ms);
    boost::asio::write(caller, boost::asio::buffer(secondPart));
    std::this_thread::sleep_for(2 * HeaderTimeout);
    fixture.runFor(100ms);
    return caller;
}

} // namespace

TEST_CASE("a timeout beside the end of a read is not applied to the next read")
{
    CallersFixture fixture;
    fixture.holdAnswers = true;
    tcp::socket caller = sendBesideTimeout(fixture, LongHeader + "Content-Length: 5\r\n\r\norder");
    REQUIRE(fixture.answered == 1);

    SUBCASE("the caller leaves")
    {
        caller.close();
        fixture.runFor(100ms);
        CHECK(fixture.cancelled == 1);
    }
    SUBCASE("the caller sends no more")
    {
        caller.shutdown(tcp::socket::shutdown_send);
        fixture.runFor(100ms);
        fixture.answerHeld();
        const std::string text = fixture.received(caller);
        CHECK(text.find(" 408 ") == std::string::npos);
    }
}

TEST_CASE("a request that is incomplete after a timeout beside a read still times out")
{
    CallersFixture fixture;
    tcp::socket caller = sendBesideTimeout(fixture, LongHeader);
    fixture.runFor(HeaderTimeout);
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 408"));
    CHECK(fixture.answered == 0);
}
