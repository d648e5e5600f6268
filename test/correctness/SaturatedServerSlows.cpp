// Guards against full use of the slots of a server that slows down at high occupancy, which reduces
// its throughput and makes each call late in overload.
#include "decisions/AdaptiveConcurrencyLimit.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Now = TimePoint() + std::chrono::hours(1);
constexpr unsigned Slots = 12;
constexpr unsigned LowInUse = 6;

void recordRuns(AdaptiveConcurrencyLimit &limit, unsigned inUse, milliseconds elapsed)
{
    for (unsigned i = 0; i < AdaptiveConcurrencyLimit::MinSamples; ++i) {
        limit.runEnded(inUse, Slots, elapsed, Now);
    }
}

} // namespace

TEST_CASE("a server that slows down at high occupancy gets four fifths of its slots")
{
    AdaptiveConcurrencyLimit limit;
    CHECK(limit.limit(Slots, Now) == Slots);
    recordRuns(limit, LowInUse, milliseconds(60));
    recordRuns(limit, Slots, milliseconds(102));
    CHECK(limit.limit(Slots, Now) == 9);
    CHECK(limit.limit(1, Now) == 1);
}

TEST_CASE("a server that does not slow down keeps all its slots")
{
    AdaptiveConcurrencyLimit limit;
    recordRuns(limit, LowInUse, milliseconds(60));
    recordRuns(limit, Slots, milliseconds(66));
    CHECK(limit.limit(Slots, Now) == Slots);
}

TEST_CASE("a limit expires, so that high occupancy is sampled again")
{
    AdaptiveConcurrencyLimit limit;
    recordRuns(limit, LowInUse, milliseconds(60));
    recordRuns(limit, Slots, milliseconds(102));
    CHECK(limit.limit(Slots, Now + AdaptiveConcurrencyLimit::DecisionLifetime) == Slots);
}

TEST_CASE("too few samples at high occupancy do not change the limit")
{
    AdaptiveConcurrencyLimit limit;
    recordRuns(limit, LowInUse, milliseconds(60));
    limit.runEnded(Slots, Slots, milliseconds(900), Now);
    CHECK(limit.limit(Slots, Now) == Slots);
}
