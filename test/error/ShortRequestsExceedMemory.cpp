// Guards against thousands of short requests, each of which takes no memory worth counting, that
// together exceed the memory of the daemon.
#include "decisions/RequestBudget.h"
#include "support/SlowCaller.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t MaxBytes = 4'000'000;
constexpr std::size_t BodyBytes = 60'000;

std::string upload(std::size_t bytes)
{
    return "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n" + std::string(bytes, 'b');
}

/// Reserves memory until there is no more for another request of that kind.
/// \return number of bytes that were reserved.
std::size_t fill(RequestBudget &budget, const RequestNeed &need)
{
    std::size_t bytes = 0;
    ReservedRequest reserved;
    while (budget.tryGrow(reserved, need)) {
        bytes += std::exchange(reserved, {}).bytes;
    }
    return bytes;
}

} // namespace

TEST_CASE("short requests take a part of the memory only, and small and nested ones have room")
{
    RequestBudget budget(MaxBytes);
    const RequestNeed large {RequestShare::Short, BodyBytes};
    const RequestNeed small {RequestShare::Short, 4000};
    CHECK(fill(budget, {RequestShare::Long, 100'000}) > MaxBytes / 2);
    CHECK(fill(budget, large) > BodyBytes);
    CHECK(fill(budget, small) > 0);
    CHECK(fill(budget, {RequestShare::Short, 4000, true}) > 0);
    CHECK(budget.reserved(RequestShare::Short) + budget.reserved(RequestShare::Long) <= MaxBytes);
}

TEST_CASE("a request moves from the short to the long share as it grows")
{
    RequestBudget budget(MaxBytes);
    ReservedRequest request;
    CHECK(budget.tryGrow(request, {RequestShare::Short, BodyBytes}));
    CHECK(budget.tryGrow(request, {RequestShare::Long, 2 * BodyBytes}));
    CHECK(budget.reserved(RequestShare::Short) == 0);
    CHECK(budget.reserved(RequestShare::Long) == 2 * BodyBytes);
    budget.release(request);
    CHECK(budget.reserved(RequestShare::Long) == 0);
}

TEST_CASE("short bodies beyond the limit are refused as not run, and small requests go on")
{
    CallersFixture fixture(MaxBytes);
    fixture.holdAnswers = true;
    std::vector<std::unique_ptr<SlowCaller>> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(std::make_unique<SlowCaller>(fixture));
        crowd.back()->sendAll(upload(BodyBytes), 20ms);
    }
    CHECK(fixture.answered * BodyBytes <= MaxBytes / 4);
    fixture.runFor(700ms);
    crowd.back()->readFor(1s);
    CHECK(crowd.back()->received.starts_with("HTTP/1.1 503"));
    CHECK(crowd.back()->received.find("not-run") != std::string::npos);
    const unsigned answered = fixture.answered;
    SlowCaller small(fixture);
    small.send(Request);
    CHECK(fixture.answered == answered + 1);
    fixture.answerHeld();
    small.readFor(1s, "done");
    CHECK(small.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("pipelined requests that are at work count as well")
{
    CallersFixture fixture(MaxBytes);
    fixture.holdAnswers = true;
    SlowCaller caller(fixture);
    const std::string request = upload(BodyBytes);
    for (int i = 0; i < 40; ++i) {
        caller.sendAll(request, 100ms);
    }
    fixture.runFor(50ms);
    CHECK(fixture.answered > 1);
    CHECK(fixture.answered * BodyBytes <= MaxBytes / 4);
}

TEST_CASE("a long header takes memory before it is complete")
{
    CallersFixture fixture(100'000);
    std::vector<std::unique_ptr<SlowCaller>> crowd;
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<SlowCaller>(fixture));
        crowd.back()->send("GET /bookings/x HTTP/1.1\r\nX-Long: " + std::string(20'000, 'x'));
    }
    fixture.runFor(700ms);
    crowd.back()->readFor(1s);
    CHECK(crowd.back()->received.starts_with("HTTP/1.1 503"));
    SlowCaller small(fixture);
    small.send(Request);
    small.readFor(1s, "done");
    CHECK(small.received.starts_with("HTTP/1.1 200"));
}
