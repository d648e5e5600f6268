// Guards against duplicate starts of non-idempotent calls and against the outcome "not run" for
// calls that have started, under loss, delay, reordering, duplication, freezes and restarts.
#include "CallSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr unsigned CallsPerSimulation = 40;

struct Findings
{
    unsigned startedTwice = 0;
    unsigned falseNotRun = 0;
    unsigned unanswered = 0;
};

Findings runSimulation(std::uint64_t seed, const Guards &guards)
{
    SeededRandom random(seed);
    Faults faults;
    faults.loss = 0.3 * random.uniform();
    faults.duplicate = 0.2 * random.uniform();
    faults.refusal = 0.3 * random.uniform();
    faults.freeze = 0.1 * random.uniform();
    faults.restart = 0.1 * random.uniform();
    faults.maxDelay = std::chrono::milliseconds(1 + random.below(300));
    faults.maxFreeze = std::chrono::milliseconds(1 + random.below(2000));
    CallSimulation simulation(random.next(), 1 + random.below(4), faults, guards);
    for (unsigned i = 0; i < CallsPerSimulation; ++i) {
        const std::size_t callIndex = simulation.call(
            random.below(3) == 0, std::chrono::milliseconds(50 + random.below(1000)));
        if (random.below(10) == 0) {
            simulation.cancel(callIndex);
        }
    }
    simulation.run(std::chrono::seconds(10));
    Findings findings;
    for (std::size_t i = 0; i < simulation.calls(); ++i) {
        const CallRecord &record = simulation.record(i);
        findings.startedTwice += !record.idempotent && record.starts > 1 ? 1 : 0;
        findings.falseNotRun += record.outcome == Outcome::NotRun && record.starts > 0 ? 1 : 0;
        findings.unanswered += record.completed ? 0 : 1;
    }
    return findings;
}

Findings sumFindings(const Guards &guards)
{
    constexpr std::uint64_t Simulations = 200;
    Findings sum;
    for (std::uint64_t seed = 1; seed <= Simulations; ++seed) {
        const Findings findings = runSimulation(seed, guards);
        sum.startedTwice += findings.startedTwice;
        sum.falseNotRun += findings.falseNotRun;
    }
    return sum;
}

} // namespace

TEST_CASE("no call starts twice, no outcome is falsely not-run, and each call is answered")
{
    CHECK(rc::check([](std::uint64_t seed) {
        const Findings findings = runSimulation(seed, FullGuards);
        RC_ASSERT(findings.startedTwice == 0U);
        RC_ASSERT(findings.falseNotRun == 0U);
        RC_ASSERT(findings.unanswered == 0U);
    }));
}

TEST_CASE("the check detects duplicate starts when lost answers are retried")
{
    Guards guards = FullGuards;
    guards.mayRetryAfter = [](AttemptState, bool) { return true; };
    CHECK(sumFindings(guards).startedTwice > 0);
}

TEST_CASE("the check detects both faults when the ledger ignores tombstones")
{
    Guards guards = FullGuards;
    guards.honoursTombstones = [] { return false; };
    const Findings findings = sumFindings(guards);
    CHECK(findings.startedTwice > 0);
    CHECK(findings.falseNotRun > 0);
}

TEST_CASE("the check detects a false not-run when an unknown attempt counts as not run")
{
    Guards guards = FullGuards;
    guards.provesNotRun = [](AttemptState state) { return state != AttemptState::Answered; };
    CHECK(sumFindings(guards).falseNotRun > 0);
}

TEST_CASE("the check detects faults when a new process answers for the previous one")
{
    Guards guards = FullGuards;
    guards.isForThisProcess = [](Incarnation, Incarnation) { return true; };
    const Findings findings = sumFindings(guards);
    CHECK(findings.startedTwice + findings.falseNotRun > 0);
}
