// Guards against servers that are given all their slots although they slow down when nearly full:
// they answer fewer calls a second then, and in overload each call is late.
#include "decisions/CrowdingLimit.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Now = TimePoint() + std::chrono::hours(1);
constexpr unsigned Slots = 12;
constexpr unsigned Few = 6;

void run(CrowdingLimit &limit, unsigned inUse, milliseconds elapsed)
{
    for (unsigned i = 0; i < CrowdingLimit::LeastRuns; ++i) {
        limit.ended(inUse, Slots, elapsed, Now);
    }
}

} // namespace

TEST_CASE("a server that slows down when crowded gets four fifths of its slots")
{
    CrowdingLimit limit;
    CHECK(limit.limit(Slots, Now) == Slots);
    run(limit, Few, milliseconds(60));
    run(limit, Slots, milliseconds(102));
    CHECK(limit.limit(Slots, Now) == 9);
    CHECK(limit.limit(1, Now) == 1);
}

TEST_CASE("a server that does not slow down keeps all its slots")
{
    CrowdingLimit limit;
    run(limit, Few, milliseconds(60));
    run(limit, Slots, milliseconds(66));
    CHECK(limit.limit(Slots, Now) == Slots);
}

TEST_CASE("a verdict is tested again after a while")
{
    CrowdingLimit limit;
    run(limit, Few, milliseconds(60));
    run(limit, Slots, milliseconds(102));
    CHECK(limit.limit(Slots, Now + CrowdingLimit::Lifetime) == Slots);
}

TEST_CASE("a few long runs make no verdict")
{
    CrowdingLimit limit;
    run(limit, Few, milliseconds(60));
    limit.ended(Slots, Slots, milliseconds(900), Now);
    CHECK(limit.limit(Slots, Now) == Slots);
}
