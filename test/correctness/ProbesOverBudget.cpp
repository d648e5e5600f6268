// Guards against probes that load the servers which they measure.
#include "decisions/ProbeBudget.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Asks every 10 ms for the given time; each probe takes the given time.
ProbeBudget::Counts probeFor(seconds span, unsigned slots, milliseconds probeTime)
{
    ProbeBudget budget;
    budget.limitsChanged(2.0, slots);
    TimePoint now {};
    const TimePoint end = now + span;
    while (now < end) {
        if (budget.wanted(now)) {
            now += probeTime;
            budget.probeEnded(now);
        }
        now += milliseconds(10);
    }
    return budget.counts();
}

} // namespace

TEST_CASE("fast probes are bounded by their rate")
{
    CHECK(probeFor(seconds(100), 9, milliseconds(1)).sent <= 201);
    CHECK(probeFor(seconds(100), 9, milliseconds(1)).sent >= 190);
}

TEST_CASE("slow probes are bounded by 1% of the slots' time")
{
    const auto counts = probeFor(seconds(100), 1, milliseconds(50));
    CHECK(counts.slotTime <= seconds(1) + milliseconds(50));
    CHECK(counts.sent > 10);
}

TEST_CASE("probes that are switched off while one is under way stay off until switched on")
{
    ProbeBudget budget;
    budget.limitsChanged(2.0, 9);
    TimePoint now {};
    CHECK(budget.wanted(now));
    budget.limitsChanged(0, 9);
    budget.probeEnded(now + milliseconds(1));
    CHECK_FALSE(budget.wanted(now + seconds(10)));
    budget.limitsChanged(2.0, 9);
    CHECK(budget.wanted(now + seconds(10)));
}

TEST_CASE("no probe while real answers are recent")
{
    ProbeBudget budget;
    budget.limitsChanged(2.0, 9);
    TimePoint now {};
    budget.answered(now);
    CHECK_FALSE(budget.wanted(now + milliseconds(499)));
    CHECK(budget.counts().unneeded == 1);
    CHECK(budget.wanted(now + milliseconds(500)));
}
