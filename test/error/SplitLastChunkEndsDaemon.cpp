// Guards against a message with an empty chunked body that arrives in small pieces: the HTTP parser
// asserted that two bytes at least follow "0\r\n" in one piece, which ended the daemon.
#include "support/CallersFixture.h"
#include "support/ExchangeFixture.h"

#include <array>

namespace Coltsfootwell::Testing {

namespace {

/// Chunked bodies and their contents.
struct ChunkedBody
{
    std::string bytes;
    std::string content;
};

const std::array Bodies {ChunkedBody {"0\r\n\r\n", ""}, ChunkedBody {"0\r\nX-Sum: 1\r\n\r\n", ""},
                         ChunkedBody {"000\r\n\r\n", ""}, ChunkedBody {"0;a=b\r\n\r\n", ""},
                         ChunkedBody {"1\r\na\r\n0\r\n\r\n", "a"}};

} // namespace

TEST_CASE("A chunked request that arrives byte by byte is served")
{
    for (const ChunkedBody &body : Bodies) {
        CallersFixture fixture;
        fixture.holdAnswers = true;
        tcp::socket caller = fixture.connect();
        caller.set_option(tcp::no_delay(true));
        const std::string head = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
        boost::asio::write(caller, boost::asio::buffer(head));
        for (const char &byte : body.bytes) {
            fixture.runFor(2ms);
            boost::asio::write(caller, boost::asio::buffer(&byte, 1));
        }
        fixture.runFor(50ms);
        REQUIRE(fixture.answered == 1);
        CHECK((fixture.heldBody ? *fixture.heldBody : "") == body.content);
        fixture.answerHeld();
        CHECK(fixture.received(caller).starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("A chunked answer that arrives byte by byte is read")
{
    for (const ChunkedBody &body : Bodies) {
        ExchangeFixture fixture(ownDialect(), [&body](const ScriptedServer::Request &) {
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body.bytes;
        });
        fixture.server().setPieceBytes(1);
        const ExchangeOutcome outcome = fixture.send("a");
        CHECK(outcome.kind == ExchangeOutcome::Kind::Answered);
        CHECK(outcome.body == body.content);
    }
}

} // namespace Coltsfootwell::Testing
