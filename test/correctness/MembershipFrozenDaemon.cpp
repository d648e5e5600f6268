// Guards against a daemon that suspects others because of its own pause, or stays unreachable after
// it.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a resumed daemon refutes its suspicion and suspects no other member")
{
    MembershipSimulation simulation(testSeed("resume", 3));
    simulation.startMany(64, oneRegion);
    REQUIRE(waitForJoin(simulation, 64));
    Process &frozen = simulation.processes()[5];
    simulation.freeze(frozen);
    REQUIRE(simulation.runUntil(
        [&] { return simulation.allHaveState("daemon-5", MemberState::Unreachable); }, 60s));
    simulation.run(30s);
    simulation.resume(frozen);
    const auto took = simulation.runUntil([&] { return simulation.allHaveAliveCount(64); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 10s);
    simulation.run(20s);
    CHECK(simulation.allHaveAliveCount(64));
    CHECK(frozen.membership->counts().suspicions == 0);
    CHECK(frozen.membership->counts().refutations > 0);
}
