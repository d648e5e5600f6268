// Guards against daemons that start together and do not all learn of each other.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("64 members that start together all know each other soon")
{
    MembershipSimulation simulation(testSeed("join", 1));
    simulation.startMany(64, oneRegion);
    const auto took = simulation.runUntil([&] { return simulation.allHaveAliveCount(64); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 15s);
    simulation.run(60s);
    CHECK(simulation.allHaveAliveCount(64));
    for (const Process &process : simulation.processes()) {
        CHECK(process.membership->counts().suspicions == 0);
        CHECK(process.membership->digest() == simulation.processes()[0].membership->digest());
    }
}

TEST_CASE("a daemon that learns of others after its start asks them at once")
{
    // It knew nobody for a second, since it had asked its empty list of seeds before.
    MembershipSimulation simulation(testSeed("late-seeds", 2));
    simulation.startMany(8, oneRegion);
    REQUIRE(waitForJoin(simulation, 8));
    Process &late = simulation.start("late", "klang", "klang-a", {});
    simulation.run(300ms);
    late.membership->addSeeds(std::vector {MembershipSimulation::endpointOf(3)});
    simulation.run(150ms);
    CHECK(late.membership->members().size() > 1);
}
