// Guards against incomplete member lists after daemons have started together.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("64 daemons that start together discover each other within 15 s")
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

TEST_CASE("a daemon pings seeds that are added after its start immediately")
{
    // Such a daemon had no other members for a second, because the ping of the empty list of seeds
    // had already started the interval.
    MembershipSimulation simulation(testSeed("late-seeds", 2));
    simulation.startMany(8, oneRegion);
    REQUIRE(waitForJoin(simulation, 8));
    Process &late = simulation.start("late", "klang", "klang-a", {});
    simulation.run(300ms);
    late.membership->seedsDiscovered(std::vector {MembershipSimulation::endpointOf(3)});
    simulation.run(150ms);
    CHECK(late.membership->members().size() > 1);
}
