// Guards against refusals that neither the log nor the metrics show: a request whose header or body
// was too long, malformed or late got 431, 413, 400 or 408 without any line, so that its caller's
// complaint could not be followed; and requests that were dropped without an answer.
#include "support/SlowCaller.h"

#include <algorithm>
#include <variant>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// \return the fields of the last line of an event; empty if there is none.
std::string fieldsOf(const CallersFixture &fixture, std::string_view event,
                     std::string_view request)
{
    std::string fields;
    for (const TelemetryMessage &message : fixture.telemetry) {
        const auto *line = std::get_if<LogEvent>(&message);
        if (line && line->event == event && line->request == request) {
            fields = line->fields;
        }
    }
    return fields;
}

double countOf(const CallersFixture &fixture, std::string_view metric, std::string_view kind)
{
    double count = 0;
    for (const TelemetryMessage &message : fixture.telemetry) {
        const auto *counter = std::get_if<IncrementCounter>(&message);
        count
            += counter && counter->metric == metric && counter->kind == kind ? counter->amount : 0;
    }
    return count;
}

void checkRefused(const std::string &text, const std::string &status, const std::string &request,
                  const std::string &reason)
{
    CAPTURE(reason);
    CallersFixture fixture;
    RequestLimits limits;
    limits.headerBytes = 300;
    limits.bodyBytes = 1000;
    limits.headerTimeout = 100ms;
    fixture.setLimits(limits);
    tcp::socket socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(text));
    CHECK(fixture.received(socket).starts_with("HTTP/1.1 " + status));
    CHECK(fieldsOf(fixture, "call.refused", request)
          == "reason=" + reason + " headerBytes=300 bodyBytes=1000");
    CHECK(countOf(fixture, "calls_total", "not-run") == 1);
    CHECK(countOf(fixture, "refusals_total", reason) == 1);
}

const std::string Head
    = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nColtsfootwell-Request: r1\r\n";

} // namespace

TEST_CASE("a request that is refused while it is read leaves a line with its id, and is counted")
{
    checkRefused(Head + "Content-Length: 1001\r\n\r\n", "413", "r1", "body-too-large");
    checkRefused(Head + "X: " + std::string(400, 'x') + "\r\n\r\n", "431", "r1",
                 "header-too-large");
}

TEST_CASE("a request that is refused before its id was read leaves a line without one")
{
    checkRefused("x\r\n\r\n", "400", "", "bad-header");
    checkRefused("POST /bookings/x HTTP/1.1\r\n", "408", "", "request-timeout");
}

TEST_CASE("a request for whose body there is no memory is counted")
{
    constexpr std::size_t BodyBytes = 1 << 20;
    CallersFixture fixture(BodyBytes + BodyBytes / 2);
    const std::string upload = Head + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    fixture.holdAnswers = true;
    SlowCaller first(fixture);
    first.sendAll(upload + std::string(BodyBytes, 'b'));
    // The kernel may still hold the last bytes when all are sent.
    constexpr unsigned MaxWaits = 100;
    for (unsigned i = 0; i < MaxWaits && fixture.answered == 0; ++i) {
        fixture.runFor(10ms);
    }
    REQUIRE(fixture.answered == 1);
    tcp::socket second = fixture.connect();
    boost::asio::write(second, boost::asio::buffer(upload));
    fixture.runFor(700ms);
    CHECK(fixture.received(second).starts_with("HTTP/1.1 503"));
    CHECK(fieldsOf(fixture, "call.refused", "r1") == "reason=body-memory");
    CHECK(countOf(fixture, "calls_total", "not-run") == 1);
    CHECK(countOf(fixture, "refusals_total", "overloaded") == 1);
}

TEST_CASE("a request that is dropped without an answer leaves a line with its id")
{
    CallersFixture fixture;
    tcp::socket caller = fixture.connect();
    const std::string closing = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                "Connection: close\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(closing + Head + "Content-Length: 0\r\n\r\n"));
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
    CHECK(fieldsOf(fixture, "call.dropped", "r1") == "reason=behind-closing-answer");
}

TEST_CASE("a request whose caller had left before it was read leaves a line with its id")
{
    CallersFixture fixture;
    {
        tcp::socket caller = fixture.connect();
        boost::asio::write(caller, boost::asio::buffer(Head + "Content-Length: 0\r\n\r\n"));
    }
    fixture.runFor(50ms);
    CHECK(fixture.answered == 0);
    CHECK(fieldsOf(fixture, "call.dropped", "r1") == "reason=caller-left");
}
