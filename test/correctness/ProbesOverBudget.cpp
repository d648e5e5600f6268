// Guards against probes that put too much load on the servers.
#include "decisions/ProbeSchedule.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// \return number of probes within a time span when only probes update the server's speed.
unsigned probesIn(seconds span, ProbeConditions conditions, double perSecond)
{
    ProbeSchedule schedule;
    schedule.limitChanged(perSecond);
    TimePoint now = TimePoint() + seconds(100);
    const TimePoint end = now + span;
    unsigned sent = 0;
    for (; now < end; now += milliseconds(5)) {
        if (now >= schedule.nextProbe(conditions)) {
            schedule.probeSent(now);
            conditions.speedUpdatedAt = now;
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("probes stay within their rate limit under all conditions")
{
    for (const ProbeConditions &conditions :
         {ProbeConditions {true, true, true, true, {}},
          ProbeConditions {false, true, true, false, {}}, ProbeConditions {}}) {
        CHECK(probesIn(seconds(20), conditions, 2) <= 41);
        CHECK(probesIn(seconds(20), conditions, 12) <= 241);
    }
}

TEST_CASE("an idle server is probed rarely, a slow server often")
{
    CHECK(probesIn(seconds(30), ProbeConditions {}, 12) <= 21);
    ProbeConditions slow;
    slow.slow = true;
    CHECK(probesIn(seconds(30), slow, 12) >= 200);
}

TEST_CASE("no probe is sent while answers update the server's speed")
{
    ProbeSchedule schedule;
    ProbeConditions conditions;
    conditions.busy = true;
    TimePoint now = TimePoint() + seconds(100);
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        conditions.speedUpdatedAt = now - milliseconds(20);
        CHECK(schedule.nextProbe(conditions) > now);
    }
}

TEST_CASE("no probe is sent when the rate limit is zero")
{
    CHECK(probesIn(seconds(20), ProbeConditions {true, true, true, true, {}}, 0) == 0);
}
