// Guards against a connection that is reset behind the answer that closes it, because its caller
// had already sent more: the reset can destroy the answer on its way.
#include "support/CallersFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

TEST_CASE("input behind an answer that closes the connection is read and discarded")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    boost::asio::write(
        caller,
        boost::asio::buffer(std::string("POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                        "Connection: close\r\nContent-Length: 5\r\n\r\norder")));
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    // A reset arrives as the answer to the first write, and fails the second one.
    for (int n = 0; n < 2; ++n) {
        boost::system::error_code ec;
        boost::asio::write(caller, boost::asio::buffer(std::string("GET /x HTTP/1.1\r\n")), ec);
        CHECK_FALSE(ec);
        fixture.runFor(50ms);
    }
}
