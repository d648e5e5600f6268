// Guards against daemons that are lost unnoticed, live daemons that are taken for lost, and lists
// of members that do not recover when hosts, links and regions return.
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

std::pair<std::string, std::string> threeRegions(std::size_t index)
{
    const std::string region = "region-" + std::to_string(index % 3);
    return {region, region + "-a"};
}

void join(MembershipSimulation &simulation, std::size_t n)
{
    const auto took
        = simulation.runUntil([&] { return simulation.allSeeAlive(n); }, std::chrono::seconds(60));
    REQUIRE(took);
    simulation.run(5s);
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

TEST_CASE("a killed daemon becomes unreachable everywhere and is forgotten after 10 min")
{
    MembershipSimulation simulation(printedSeed("kill", 2));
    simulation.startMany(64, oneRegion);
    join(simulation, 64);
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

TEST_CASE("a frozen daemon that thaws refutes and blames nobody")
{
    MembershipSimulation simulation(printedSeed("thaw", 3));
    simulation.startMany(64, oneRegion);
    join(simulation, 64);
    Process &frozen = simulation.processes()[5];
    simulation.freeze(frozen);
    REQUIRE(simulation.runUntil(
        [&] { return simulation.allSee("daemon-5", MemberState::Unreachable); }, 60s));
    simulation.run(30s);
    simulation.thaw(frozen);
    const auto took = simulation.runUntil([&] { return simulation.allSeeAlive(64); }, 60s);
    REQUIRE(took);
    CHECK(*took <= 10s);
    simulation.run(20s);
    CHECK(simulation.allSeeAlive(64));
    CHECK(frozen.membership->counts().suspicions == 0);
    CHECK(frozen.membership->counts().refutations > 0);
}

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
    for (const PeerAnswered &answer : simulation.processes()[0].answers) {
        CHECK((!answer.fresh || *answer.fresh <= known));
    }
}

TEST_CASE("links cut in one direction between two daemons remove neither")
{
    MembershipSimulation simulation(printedSeed("one-way link", 5));
    simulation.startMany(16, oneRegion);
    join(simulation, 16);
    simulation.isCut = [](const Process &from, const Process &to) {
        return from.self.id.name == "daemon-3" && to.self.id.name == "daemon-4";
    };
    for (int i = 0; i < 120; ++i) {
        simulation.run(1s);
        CHECK(!simulation.allSee("daemon-3", MemberState::Unreachable));
        CHECK(!simulation.allSee("daemon-4", MemberState::Unreachable));
    }
    for (const Process &process : simulation.processes()) {
        CHECK(process.membership->counts().unreachable == 0);
    }
}

TEST_CASE("a daemon that hears nobody does not make others drop live members")
{
    MembershipSimulation simulation(printedSeed("one-way host", 6));
    simulation.startMany(16, oneRegion);
    join(simulation, 16);
    simulation.isCut
        = [](const Process &, const Process &to) { return to.self.id.name == "daemon-3"; };
    simulation.run(120s);
    for (const Process &process : simulation.processes()) {
        if (process.self.id.name != "daemon-3") {
            CHECK(process.membership->counts().unreachable <= 1);
            CHECK(MembershipSimulation::stateSeen(process, "daemon-3")
                  == MemberState::Unreachable);
        }
    }
    simulation.isCut = [](const Process &, const Process &) { return false; };
    const auto took = simulation.runUntil([&] { return simulation.allSeeAlive(16); }, 60s);
    CHECK(took);
}

TEST_CASE("a lost region stays in the list and comes back")
{
    for (const std::chrono::minutes outage : {3min, 25min}) {
        MembershipSimulation simulation(printedSeed("lost region", 7));
        simulation.startMany(48, threeRegions);
        join(simulation, 48);
        simulation.isCut = [](const Process &from, const Process &to) {
            return (from.self.region == "region-2") != (to.self.region == "region-2");
        };
        simulation.run(60s);
        CHECK(simulation.allSee("daemon-2", MemberState::Unreachable) == false);
        for (const Process &process : simulation.processes()) {
            const bool inside = process.self.region == "region-2";
            const auto alive = std::ranges::count(process.membership->members(),
                                                  MemberState::Alive, &Member::state);
            CHECK(alive == (inside ? 16 : 32));
            CHECK(process.membership->members().size() == 48);
        }
        simulation.run(outage - 60s);
        simulation.isCut = [](const Process &, const Process &) { return false; };
        const auto took = simulation.runUntil([&] { return simulation.allSeeAlive(48); }, 120s);
        REQUIRE(took);
        CHECK(*took <= (outage < 10min ? 15s : 45s));
    }
}

TEST_CASE("loss of one datagram in ten makes nobody unreachable")
{
    MembershipSimulation simulation(printedSeed("loss", 8));
    simulation.lossRate = 0.1;
    simulation.startMany(32, threeRegions);
    join(simulation, 32);
    simulation.run(300s);
    for (const Process &process : simulation.processes()) {
        CHECK(process.membership->counts().unreachable == 0);
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
