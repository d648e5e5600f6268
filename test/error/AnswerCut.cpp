// Guards against an answer that is cut while a caller reads it slowly: a planned stop, a timeout or
// the end of the caller's requests must not end it.
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

TEST_CASE("a planned stop waits for an answer that is being written")
{
    LongAnswersFixture fixture;
    SlowCaller caller(fixture);
    caller.send(Request);
    fixture.stop();
    fixture.runFor(100ms);
    CHECK_FALSE(fixture.stopped);
    caller.readFor(10s);
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
    CHECK(caller.ended);
    fixture.runFor(MaxLingerTime);
    CHECK(fixture.stopped);
}

TEST_CASE(
    "a request that arrives during the stop, behind an answer that is being written, is answered")
{
    LongAnswersFixture fixture;
    SlowCaller caller(fixture);
    caller.send(Request);
    fixture.body = "done";
    fixture.stop();
    caller.send(Request);
    caller.readFor(10s);
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
    CHECK(caller.received.ends_with("done"));
    CHECK(fixture.answered == 2);
    CHECK(caller.ended);
}

TEST_CASE("the idle timeout does not cut an answer that the caller goes on reading")
{
    LongAnswersFixture fixture;
    RequestLimits limits;
    limits.idleTimeout = 300ms;
    fixture.setLimits(limits);
    SlowCaller caller(fixture);
    caller.send(Request);
    for (int i = 0; i < 8; ++i) {
        // Reads a part of the answer at a time, with pauses, for longer than the timeout.
        caller.readFor(2ms);
        fixture.runFor(100ms);
    }
    CHECK(caller.received.size() < LongBodyBytes);
    caller.readLongAnswer();
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
}

TEST_CASE("a caller that reads nothing for the idle timeout loses its connection")
{
    LongAnswersFixture fixture;
    RequestLimits limits;
    limits.idleTimeout = 300ms;
    fixture.setLimits(limits);
    SlowCaller caller(fixture);
    caller.send(Request);
    fixture.runFor(1500ms);
    fixture.stop();
    fixture.runFor(100ms);
    CHECK(fixture.stopped);
}

TEST_CASE("a request that comes too slowly is refused behind the answer that is being written")
{
    LongAnswersFixture fixture;
    RequestLimits limits;
    limits.headerTimeout = 200ms;
    fixture.setLimits(limits);
    SlowCaller caller(fixture);
    caller.send(Request);
    caller.send("POST /book");
    fixture.runFor(400ms);
    caller.readFor(10s);
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
    CHECK(caller.received.find("HTTP/1.1 408", LongBodyBytes) != std::string::npos);
}

TEST_CASE("a caller that has ended its requests gets the answers that are ready")
{
    LongAnswersFixture fixture;
    SlowCaller caller(fixture);
    caller.send(Request);
    fixture.body = "done";
    caller.send(Request);
    fixture.holdAnswers = true;
    caller.send(Request);
    caller.socket.shutdown(tcp::socket::shutdown_send);
    fixture.runFor(50ms);
    CHECK(fixture.cancelled == 1);
    caller.readFor(10s);
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
    CHECK(caller.received.ends_with("done"));
    CHECK(caller.ended);
}
