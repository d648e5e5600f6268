// Guards against "100 Continue" that lands inside an answer that is being written to the same
// caller, or that is never sent because an earlier request of the connection is at work.
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::string_view RequestHead = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                                         "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n";

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

TEST_CASE("an interim answer comes after the answer that is being written")
{
    LongAnswersFixture fixture;
    SlowCaller caller(fixture);
    caller.send(Request);
    caller.send(RequestHead);
    caller.readFor(10s, ContinueLine);
    CHECK(caller.wholeBodyBytes() == LongBodyBytes);
    CHECK(caller.received.ends_with(ContinueLine));
    fixture.body = "done";
    caller.send("order");
    caller.readFor(1s, "done");
    CHECK(caller.received.ends_with("done"));
}

TEST_CASE("an interim answer comes after the answers of the requests before")
{
    CallersFixture fixture;
    fixture.holdAnswers = true;
    SlowCaller caller(fixture);
    caller.send(Request);
    caller.send(RequestHead);
    caller.readFor(100ms);
    CHECK(caller.received.empty());
    fixture.answerHeld();
    caller.readFor(1s, ContinueLine);
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.received.ends_with(ContinueLine));
    caller.send("order");
    CHECK(fixture.answered == 2);
}
