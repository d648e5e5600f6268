// Guards against killed daemons that others go on to use or never forget.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a killed daemon becomes unreachable everywhere and is forgotten after 10 min")
{
    MembershipSimulation simulation(printedSeed("kill", 2));
    simulation.startMany(64, oneRegion);
    REQUIRE(joinAll(simulation, 64));
    simulation.processes()[7].running = false;
    const auto took = simulation.runUntil(
        [&] { return simulation.allSee("daemon-7", MemberState::Unreachable); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 10s);
    CHECK(simulation.allSeeAlive(63));
    simulation.run(MemberTable::DownRetention - 30s);
    CHECK(simulation.allSee("daemon-7", MemberState::Unreachable));
    simulation.run(60s);
    for (const Process &process : simulation.processes()) {
        CHECK((!process.running || !MembershipSimulation::stateSeen(process, "daemon-7")));
    }
}

TEST_CASE("of two daemons the survivor alone decides")
{
    MembershipSimulation simulation(printedSeed("two", 9));
    simulation.startMany(2, oneRegion);
    simulation.run(10s);
    REQUIRE(simulation.allSeeAlive(2));
    simulation.processes()[1].running = false;
    CHECK(simulation.runUntil(
        [&] { return simulation.allSee("daemon-1", MemberState::Unreachable); }, 10s));
}
