// Guards against calls to other regions that fill the shared link.
#include "RoutingWorld.h"
#include "decisions/RegionBudget.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Link = 1'000'000;

double bytesIn(seconds span, unsigned senders, std::uint64_t callBytes)
{
    RegionBudget budget;
    TimePoint now {};
    budget.limitsChanged(Link, senders, now);
    double bytes = 0;
    for (const TimePoint end = now + span; now < end; now += milliseconds(1)) {
        if (budget.allows(now)) {
            budget.spend(callBytes, now);
            bytes += static_cast<double>(callBytes);
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("a daemon spends its share of the link, also with calls larger than the burst")
{
    CHECK(bytesIn(seconds(20), 1, 10'000) <= 0.8 * Link * 20.25 + 10'000);
    CHECK(bytesIn(seconds(20), 1, 10'000) >= 0.8 * Link * 19);
    CHECK(bytesIn(seconds(20), 4, 10'000) <= 0.2 * Link * 20.25 + 10'000);
    CHECK(bytesIn(seconds(20), 4, 1'000'000) <= 0.2 * Link * 20.25 + 1'000'000);
}

TEST_CASE("other regions are used only without an own candidate and within the budget")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 2);
    addMembers(members, "b", "b1", "s", 2);
    SeededRandom random(5);
    Routing routing({{"a1-x", 1}, "a", "a1"}, random);
    RegionBudget budget;
    TimePoint now {};
    budget.limitsChanged(Link, 1, now);
    routing.limitRegionsBy(budget);
    routing.membersChanged(members);
    routing.configurationChanged(configurationFor(members));
    for (int i = 0; i < 100; ++i) {
        CHECK(std::get<Target>(routing.pick(factsFor("s"), {}, now)).region == "a");
    }
    const std::vector<DaemonId> tried {members[0].id, members[1].id};
    CHECK(std::get<Target>(routing.pick(factsFor("s"), tried, now)).region == "b");
    budget.spend(Link, now);
    CHECK(std::get<Reason>(routing.pick(factsFor("s"), tried, now)) == Reason::RegionBudget);
}
