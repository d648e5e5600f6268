// Guards against a configuration version that other daemons do not hear of in time while the store
// is silent, and against one that seems newer than it is after a pause.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("answers that waited during a pause tell no version that nobody has")
{
    MembershipSimulation simulation(testSeed("version", 4));
    simulation.startMany(2, oneRegion);
    simulation.run(10s);
    simulation.advancePosition(1, 8);
    simulation.run(100ms);
    simulation.freeze(simulation.processes()[0]);
    simulation.run(20s);
    simulation.resume(simulation.processes()[0]);
    simulation.run(5s);
    REQUIRE(!simulation.processes()[0].peerReports.empty());
    CHECK(simulation.processes()[0].peerReports.back().position == 8);
    for (const PeerReported &answer : simulation.processes()[0].peerReports) {
        CHECK((answer.position == 0 || answer.position == 8));
    }
}

TEST_CASE("a version that one of 64 daemons has is known to all within 3 s without the store")
{
    MembershipSimulation simulation(testSeed("version", 5));
    simulation.startMany(64, oneRegion);
    simulation.run(15s);
    constexpr std::uint64_t Newest = 8;
    simulation.advancePosition(0, Newest);
    std::vector<bool> knows(simulation.processes().size(), false);
    knows[0] = true;
    const TimePoint published = simulation.now();
    while (std::ranges::count(knows, true) < std::ssize(knows)
           && simulation.now() - published < 3s) {
        simulation.run(50ms);
        for (std::size_t i = 0; i < knows.size(); ++i) {
            const Process &process = simulation.processes()[i];
            if (!knows[i]
                && std::ranges::any_of(process.peerReports, [](const PeerReported &answer) {
                       return answer.position == Newest;
                   })) {
                knows[i] = true;
                simulation.advancePosition(i, Newest);
            }
        }
    }
    CHECK(std::ranges::count(knows, true) == std::ssize(knows));
}
