// Guards against killed daemons that stay alive in member lists, or are never removed from them.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a killed daemon becomes unreachable in all lists and is removed after 10 min")
{
    MembershipSimulation simulation(testSeed("kill", 2));
    simulation.startMany(64, oneRegion);
    REQUIRE(waitForJoin(simulation, 64));
    simulation.processes()[7].running = false;
    const auto took = simulation.runUntil(
        [&] { return simulation.allHaveState("daemon-7", MemberState::Unreachable); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 10s);
    CHECK(simulation.allHaveAliveCount(63));
    simulation.run(MemberTable::DownRetention - 30s);
    CHECK(simulation.allHaveState("daemon-7", MemberState::Unreachable));
    simulation.run(60s);
    for (const Process &process : simulation.processes()) {
        CHECK((!process.running || !MembershipSimulation::memberState(process, "daemon-7")));
    }
}

TEST_CASE("the survivor of two daemons declares the other one unreachable on its own")
{
    MembershipSimulation simulation(testSeed("two", 9));
    simulation.startMany(2, oneRegion);
    simulation.run(10s);
    REQUIRE(simulation.allHaveAliveCount(2));
    simulation.processes()[1].running = false;
    CHECK(simulation.runUntil(
        [&] { return simulation.allHaveState("daemon-1", MemberState::Unreachable); }, 10s));
}
