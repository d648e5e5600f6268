// Guards against a cold backend server that gets more calls per second than it bears, also when it
// turns cold right after a burst.
#include "decisions/ColdRateLimiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace Coltsfootwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("no second of a cold server has more starts than its limit")
{
    ColdRateLimiter pacer;
    pacer.limitChanged(29);
    TimePoint now {};
    pacer.setColdUntil(now + seconds(4));
    std::deque<TimePoint> starts;
    std::size_t most = 0;
    while (now < TimePoint() + seconds(3)) {
        now += milliseconds(5);
        if (pacer.mayStart(now)) {
            pacer.callStarted(now);
            starts.push_back(now);
        }
        while (!starts.empty() && now - starts.front() >= seconds(1)) {
            starts.pop_front();
        }
        most = std::max(most, starts.size());
    }
    CHECK(most == 29);
}

TEST_CASE("half of the slack is used, and the rest is left for starts before a cold turn is known")
{
    // Where all hosts come back cold at once, the rate alone turned away calls that servers bear.
    ColdRateLimiter pacer;
    pacer.limitChanged(11, 8);
    const TimePoint now {};
    pacer.setColdUntil(now + seconds(3));
    unsigned started = 0;
    while (pacer.mayStart(now)) {
        pacer.callStarted(now);
        ++started;
    }
    CHECK(started == 15);
}

TEST_CASE("starts before the cold turn count")
{
    ColdRateLimiter pacer;
    pacer.limitChanged(10);
    TimePoint now {};
    for (int i = 0; i < 40; ++i) {
        CHECK(pacer.mayStart(now));
        pacer.callStarted(now);
    }
    pacer.setColdUntil(now + seconds(3));
    CHECK_FALSE(pacer.mayStart(now + milliseconds(500)));
    CHECK(pacer.nextStart(now + milliseconds(500)) == now + seconds(1));
    CHECK(pacer.mayStart(now + milliseconds(1000)));
}

TEST_CASE("a warm server has no limit")
{
    ColdRateLimiter pacer;
    pacer.limitChanged(1);
    const TimePoint now {};
    for (int i = 0; i < 100; ++i) {
        pacer.callStarted(now);
    }
    CHECK(pacer.mayStart(now));
}
