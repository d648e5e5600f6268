// Guards against a server that fails quickly, therefore appears idle, and attracts calls.
#include "PlacementFixture.h"
#include "decisions/BackendHealth.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

TEST_CASE("a server that fails half of its calls gets few calls and is retried later")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 4);
    SeededRandom random(3);
    Placement placement({{"a1-x", 1}, "a", "a1"}, random);
    placement.membersChanged(members);
    placement.configurationChanged(configurationFor(members));
    BackendHealth health;
    TimePoint now = TimePoint() + milliseconds(1);
    unsigned failed = 0;
    constexpr unsigned Calls = 15'000;
    for (unsigned i = 0; i < Calls; ++i) {
        now += milliseconds(7);
        const DaemonId target
            = std::get<PlacedAttempt>(placement.pick(attributesFor("s"), {}, now)).target.daemon;
        const bool failing = target == members[0].id;
        LoadReport report;
        report.limit = 9;
        report.state = BackendState::Warm;
        if (failing) {
            health.runEnded(i % 2 == 0 ? RunOutcome::Failure : RunOutcome::Success, milliseconds(5),
                            now);
            report.failurePercent = health.failurePercent(now);
            ++failed;
        }
        placement.loadReported(target, report, now);
    }
    CHECK(failed < Calls / 20);
    CHECK(failed > 0);
}

TEST_CASE("an unreachable server counts as down until a probe or a call succeeds")
{
    BackendHealth health;
    TimePoint now {};
    health.runEnded(RunOutcome::Unreachable, {}, now);
    CHECK(health.isDown());
    health.probeAnswered(now);
    CHECK_FALSE(health.isDown());
    for (unsigned i = 0; i < BackendHealth::LostThreshold; ++i) {
        CHECK_FALSE(health.isDown());
        health.runEnded(RunOutcome::Lost, milliseconds(300), now);
    }
    CHECK(health.isDown());
    health.runEnded(RunOutcome::Success, milliseconds(50), now);
    CHECK_FALSE(health.isDown());
}

TEST_CASE("a slowness report decays unless it is renewed")
{
    BackendHealth health;
    TimePoint now = TimePoint() + milliseconds(1);
    health.slownessReported(700, now);
    CHECK(health.slowness(now) == 700);
    CHECK(health.slowness(now + BackendHealth::SlownessDecayTime) == 700);
    CHECK(health.slowness(now + milliseconds(3000)) < 120);
}
