// Guards against a header or trailer field that is longer than the HTTP parser can hold, whose
// exception ended the daemon.
#include "support/CallersFixture.h"
#include "support/ExchangeFixture.h"

#include <array>

namespace Coltsfootwell::Testing {

namespace {

/// Length of a name or a value that the parser of Beast cannot hold.
constexpr std::size_t LongFieldBytes = 70'000;

const std::string LongText(LongFieldBytes, 'a');

/// Fields that the parser cannot hold.
const std::array LongFields {"X-Long: " + LongText + "\r\n", LongText + ": x\r\n"};

void checkRefused(CallersFixture &fixture, const std::string &request)
{
    tcp::socket caller = fixture.connect();
    boost::asio::write(caller, boost::asio::buffer(request));
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 431 "));
    CHECK(fixture.answered == 0);
    tcp::socket next = fixture.connect();
    CallersFixture::sendRequest(next);
    CHECK(fixture.received(next).starts_with("HTTP/1.1 200 "));
}

} // namespace

TEST_CASE("A request with a trailer field that is too long is refused")
{
    for (const std::string &field : LongFields) {
        CallersFixture fixture;
        checkRefused(fixture,
                     "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n"
                         + field + "\r\n");
    }
}

TEST_CASE("A request with a header field that is within the limits and too long is refused")
{
    for (const std::string &field : LongFields) {
        CallersFixture fixture;
        RequestLimits limits;
        limits.headerBytes = 131'072;
        fixture.setLimits(limits);
        checkRefused(fixture, "GET /bookings/x HTTP/1.1\r\nHost: bookings\r\n" + field + "\r\n");
    }
}

TEST_CASE("An answer with a trailer field that is too long is lost")
{
    for (const std::string &field : LongFields) {
        ExchangeFixture fixture(ownDialect(), [&field](const ScriptedServer::Request &request) {
            return request.connection == 1
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" + field
                    + "\r\n"
                : answerText(200, "", "done");
        });
        CHECK(fixture.send("a").kind == ExchangeOutcome::Kind::Lost);
        CHECK(fixture.send("b").kind == ExchangeOutcome::Kind::Answered);
        CHECK(fixture.server().connections() == 2);
    }
}

} // namespace Coltsfootwell::Testing
