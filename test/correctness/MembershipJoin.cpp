// Guards against daemons that start together and do not all learn of each other.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

std::pair<std::string, std::string> oneRegion(std::size_t)
{
    return {"klang", "klang-a"};
}

} // namespace

TEST_CASE("64 members that start together all know each other soon")
{
    MembershipSimulation simulation(printedSeed("join", 1));
    simulation.startMany(64, oneRegion);
    const auto took = simulation.runUntil([&] { return simulation.allSeeAlive(64); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 15s);
    simulation.run(60s);
    CHECK(simulation.allSeeAlive(64));
    for (const Process &process : simulation.processes()) {
        CHECK(process.membership->counts().suspicions == 0);
        CHECK(process.membership->digest() == simulation.processes()[0].membership->digest());
    }
}
