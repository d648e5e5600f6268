// Guards against evidence of the newest configuration that looks newer than it is after a pause.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

std::pair<std::string, std::string> oneRegion(std::size_t)
{
    return {"klang", "klang-a"};
}

} // namespace

TEST_CASE("evidence never counts from later than the sending of the ping")
{
    MembershipSimulation simulation(printedSeed("evidence", 4));
    simulation.startMany(2, oneRegion);
    simulation.run(10s);
    const TimePoint known = simulation.now();
    simulation.processes()[1].membership->setEvidence(8, known, true);
    simulation.run(100ms);
    simulation.freeze(simulation.processes()[0]);
    simulation.run(20s);
    simulation.thaw(simulation.processes()[0]);
    simulation.run(5s);
    REQUIRE(!simulation.processes()[0].answers.empty());
    const PeerAnswered &last = simulation.processes()[0].answers.back();
    CHECK(last.version == 8);
    CHECK(last.logReachable);
    // A contact without the time of its question never counts as recent.
    CHECK(last.asked > known);
    CHECK(last.asked <= simulation.now());
    for (const PeerAnswered &answer : simulation.processes()[0].answers) {
        CHECK((!answer.fresh || *answer.fresh <= known));
        CHECK((!answer.fresh || *answer.fresh <= answer.asked));
        CHECK(answer.asked > TimePoint());
    }
}

TEST_CASE("random pings are reported as answered, and as unanswered once the other is frozen")
{
    MembershipSimulation simulation(printedSeed("evidence", 5));
    simulation.startMany(3, oneRegion);
    simulation.run(10s);
    auto &ended = simulation.processes()[0].pingsEnded;
    REQUIRE(ended.size() > 20);
    CHECK(std::ranges::all_of(ended, [](const PingEnded &ping) { return ping.answered; }));
    ended.clear();
    const TimePoint cut = simulation.now();
    simulation.freeze(simulation.processes()[1]);
    simulation.freeze(simulation.processes()[2]);
    simulation.run(1s);
    REQUIRE_FALSE(ended.empty());
    CHECK(std::ranges::all_of(
        ended, [cut](const PingEnded &ping) { return !ping.answered || ping.asked <= cut; }));
}
