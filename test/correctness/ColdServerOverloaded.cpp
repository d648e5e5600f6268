// Guards against a cold backend server that receives calls above its rate limit, including a server
// that becomes cold right after a burst.
#include "decisions/ColdRateLimiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace Coltsfootwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a cold server starts no more calls in any second than its limit")
{
    ColdRateLimiter limiter;
    limiter.limitChanged(29);
    TimePoint now {};
    limiter.setColdUntil(now + seconds(4));
    std::deque<TimePoint> starts;
    std::size_t maxStarts = 0;
    while (now < TimePoint() + seconds(3)) {
        now += milliseconds(5);
        if (limiter.mayStart(now)) {
            limiter.callStarted(now);
            starts.push_back(now);
        }
        while (!starts.empty() && now - starts.front() >= seconds(1)) {
            starts.pop_front();
        }
        maxStarts = std::max(maxStarts, starts.size());
    }
    CHECK(maxStarts == 29);
}

TEST_CASE("half of the slack is used, the rest covers starts before a cold server is detected")
{
    // When all hosts restarted cold at once, the rate limit alone refused calls that the servers
    // could have run.
    ColdRateLimiter limiter;
    limiter.limitChanged(11, 8);
    const TimePoint now {};
    limiter.setColdUntil(now + seconds(3));
    unsigned started = 0;
    while (limiter.mayStart(now)) {
        limiter.callStarted(now);
        ++started;
    }
    CHECK(started == 15);
}

TEST_CASE("starts before the server became cold count")
{
    ColdRateLimiter limiter;
    limiter.limitChanged(10);
    TimePoint now {};
    for (int i = 0; i < 40; ++i) {
        CHECK(limiter.mayStart(now));
        limiter.callStarted(now);
    }
    limiter.setColdUntil(now + seconds(3));
    CHECK_FALSE(limiter.mayStart(now + milliseconds(500)));
    CHECK(limiter.nextStart(now + milliseconds(500)) == now + seconds(1));
    CHECK(limiter.mayStart(now + milliseconds(1000)));
}

TEST_CASE("a warm server has no limit")
{
    ColdRateLimiter limiter;
    limiter.limitChanged(1);
    const TimePoint now {};
    for (int i = 0; i < 100; ++i) {
        limiter.callStarted(now);
    }
    CHECK(limiter.mayStart(now));
}
