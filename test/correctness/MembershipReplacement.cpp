// Guards against a resumed daemon that supersedes its replacement, and against two processes with
// the same incarnation.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

void startAll(MembershipSimulation &simulation, std::size_t n)
{
    simulation.startMany(n, [](std::size_t) { return std::pair("klang", "klang-a"); });
    simulation.run(15s);
    REQUIRE(simulation.allHaveAliveCount(n));
}

bool allHaveIncarnation(MembershipSimulation &simulation, std::string_view name,
                        Incarnation incarnation)
{
    return std::ranges::all_of(simulation.processes(), [&](const Process &observer) {
        return !observer.running || observer.frozen
            || std::ranges::any_of(observer.membership->members(), [&](const Member &member) {
                   return member.id == DaemonId {std::string(name), incarnation}
                   && member.state == MemberState::Alive;
               });
    });
}

} // namespace

TEST_CASE("a daemon that was replaced while frozen stops when it is resumed")
{
    MembershipSimulation simulation(testSeed("replaced", 11));
    startAll(simulation, 16);
    Process &frozenProcess = simulation.processes()[4];
    simulation.freeze(frozenProcess);
    simulation.run(2s);
    simulation.start("daemon-4", "klang", "klang-a", {0, 1}, 2);
    REQUIRE(
        simulation.runUntil([&] { return allHaveIncarnation(simulation, "daemon-4", 2); }, 20s));
    simulation.run(10s);
    simulation.resume(frozenProcess);
    for (int i = 0; i < 50; ++i) {
        simulation.run(100ms);
        CHECK(allHaveIncarnation(simulation, "daemon-4", 2));
    }
    CHECK_FALSE(frozenProcess.running);
    REQUIRE(frozenProcess.conflicts.size() == 1);
    CHECK(frozenProcess.conflicts.front().replaced);
    CHECK(frozenProcess.conflicts.front().otherIncarnation == 2);
}

TEST_CASE("a joining daemon takes a higher incarnation than its predecessor in the list")
{
    MembershipSimulation simulation(testSeed("incarnation", 12));
    startAll(simulation, 8);
    simulation.processes()[4].running = false;
    simulation.run(1s);
    // The new process has a lower incarnation, as after a clock of the host that was set back.
    Process &successor = simulation.start("daemon-4", "klang", "klang-a", {0, 1}, 0);
    REQUIRE(
        simulation.runUntil([&] { return allHaveIncarnation(simulation, "daemon-4", 2); }, 20s));
    CHECK(successor.running);
    REQUIRE(!successor.conflicts.empty());
    CHECK_FALSE(successor.conflicts.front().replaced);
}

TEST_CASE("leaving takes precedence over a suspicion and is never undone")
{
    MembershipSimulation simulation(testSeed("leaving", 13));
    startAll(simulation, 16);
    Process &leavingProcess = simulation.processes()[6];
    // Others suspect the daemon at the same time: its replies are missing, its own gossip arrives.
    simulation.freeze(leavingProcess);
    simulation.run(1500ms);
    simulation.resume(leavingProcess);
    leavingProcess.membership->leave();
    const auto isLeaving = [&](const Process &observer) {
        return !observer.running
            || std::ranges::any_of(observer.membership->members(), [](const Member &m) {
                   return m.id.name == "daemon-6" && m.leaving && m.state == MemberState::Alive;
               });
    };
    const auto took = simulation.runUntil(
        [&] { return std::ranges::all_of(simulation.processes(), isLeaving); }, 10s);
    REQUIRE(took);
    CHECK(*took <= 3s);
    leavingProcess.running = false;
    REQUIRE(simulation.runUntil(
        [&] { return simulation.allHaveState("daemon-6", MemberState::Left); }, 20s));
    simulation.run(30s);
    CHECK(simulation.allHaveState("daemon-6", MemberState::Left));
}
