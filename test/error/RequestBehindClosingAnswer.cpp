// Guards against a request that runs although it was sent behind an answer that closes the
// connection: its caller takes it for unread and sends it again.
#include "support/CallersFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

std::string order(std::string_view extraHeader)
{
    return "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n" + std::string(extraHeader)
        + "Content-Length: 5\r\n\r\norder";
}

} // namespace

TEST_CASE("a request behind one that asks to close the connection is not processed")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    boost::asio::write(caller, boost::asio::buffer(order("Connection: close\r\n") + order("")));
    const std::string text = fixture.received(caller);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(fixture.answered == 1);
}

TEST_CASE("a request that arrives later behind one that asks to close is not processed")
{
    CallersFixture fixture;
    fixture.holdAnswers = true;
    tcp::socket caller = fixture.connect();
    boost::asio::write(caller, boost::asio::buffer(order("Connection: close\r\n")));
    fixture.runFor(50ms);
    CHECK(fixture.answered == 1);
    boost::asio::write(caller, boost::asio::buffer(order("")));
    fixture.runFor(50ms);
    CHECK(fixture.answered == 1);
    fixture.answerHeld();
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a caller that asked to close the connection and leaves has its call cancelled")
{
    CallersFixture fixture;
    fixture.holdAnswers = true;
    tcp::socket caller = fixture.connect();
    boost::asio::write(caller, boost::asio::buffer(order("Connection: close\r\n") + order("")));
    fixture.runFor(50ms);
    caller.close();
    fixture.runFor(50ms);
    CHECK(fixture.cancelled == 1);
}
