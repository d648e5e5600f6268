// Guards against log lines that grow with the load, and against a budget that hides the first line
// of an event or does not tell what it has left out.
#include "decisions/LogRateLimiter.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

TEST_CASE("lines of one event stay within their rate, and the rest is counted")
{
    LogRateLimiter budget;
    TimePoint now {};
    std::uint64_t written = 0;
    constexpr std::uint64_t Lines = 10'000;
    for (std::uint64_t i = 0; i < Lines; ++i) {
        now += milliseconds(1);
        written += budget.allows("call.ended", false, now) ? 1 : 0;
    }
    CHECK(written
          <= LogRateLimiter::RoutineLinesPerSecond * (10 + LogRateLimiter::BurstSeconds) + 1);
    std::uint64_t omitted = 0;
    for (const OmittedLines &lines : budget.takeOmitted()) {
        omitted += lines.lines;
    }
    CHECK(written + omitted == Lines);
    CHECK(budget.takeOmitted().empty());
}

TEST_CASE("the first line of an event is written whatever came before")
{
    LogRateLimiter budget;
    const TimePoint now {};
    while (budget.allows("a", true, now)) { }
    CHECK(budget.allows("b", true, now));
    CHECK(budget.allows("a", false, now));
}

TEST_CASE("what is left out is told apart by its weight")
{
    LogRateLimiter budget;
    const TimePoint now {};
    while (budget.allows("call.ended", false, now)) { }
    while (budget.allows("call.ended", true, now)) { }
    const auto omitted = budget.takeOmitted();
    REQUIRE(omitted.size() == 2);
    CHECK(omitted[0].important != omitted[1].important);
}
