// Guards against a key whose call starts a second time: in a repeat that comes while the first call
// runs, after it was answered, or after its outcome was unknown.
#include "CallWorld.h"
#include "decisions/KeyTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Test;

namespace {

constexpr TimePoint Start {};
constexpr CallFingerprint Print {1, 2};
constexpr TimePoint Later = Start + std::chrono::hours(24);

struct KeyFindings
{
    unsigned startedTwice = 0;
    unsigned falseNotRun = 0;
};

/// Repeats one key again and again until a repeat is told the answer or the world ends.
KeyFindings repeatKey(std::uint64_t seed, const Guards &guards)
{
    constexpr unsigned Repeats = 8;
    SeededRandom random(seed);
    Faults faults;
    faults.loss = 0.4 * random.unit();
    faults.refusal = 0.4 * random.unit();
    faults.freeze = 0.1 * random.unit();
    faults.restart = 0.1 * random.unit();
    faults.maxDelay = std::chrono::milliseconds(1 + random.below(200));
    CallWorld world(random.next(), 1 + random.below(3), faults, guards);
    KeyTable table(guards);
    KeyFindings findings;
    std::optional<std::size_t> running;
    TimePoint now = Start;
    const auto starts = [&world] {
        unsigned n = 0;
        for (std::size_t i = 0; i < world.calls(); ++i) {
            n += world.record(i).starts;
        }
        return n;
    };
    for (unsigned i = 0; i < Repeats; ++i) {
        const KeyDecision decision = table.begin("key", Print, Later, now);
        if (decision.verdict == KeyVerdict::Start) {
            running = world.call(false, std::chrono::milliseconds(50 + random.below(3000)));
        }
        now += std::chrono::seconds(1);
        world.run(std::chrono::seconds(1));
        if (running && world.record(*running).told) {
            const CallRecord &record = world.record(*running);
            findings.falseNotRun += record.outcome == Outcome::NotRun && starts() > 0 ? 1 : 0;
            table.ended("key", *record.outcome, record.reason, std::nullopt, now);
            running.reset();
        }
    }
    world.run(std::chrono::seconds(10));
    findings.startedTwice = starts() > 1 ? 1 : 0;
    return findings;
}

} // namespace

TEST_CASE("the call of a key starts at most once, however often it is repeated")
{
    CHECK(rc::check([](std::uint64_t seed) {
        const KeyFindings findings = repeatKey(seed, FullGuards);
        RC_ASSERT(findings.startedTwice == 0U);
        RC_ASSERT(findings.falseNotRun == 0U);
    }));
}

TEST_CASE("the check finds second starts when an unknown outcome frees the key")
{
    Guards guards = FullGuards;
    guards.freesKey = [](Outcome) { return true; };
    unsigned found = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        found += repeatKey(seed, guards).startedTwice;
    }
    CHECK(found > 0);
}

TEST_CASE("a repeat waits, then gets the answer; a key whose call did not run is free again")
{
    KeyTable table;
    CHECK(table.begin("k", Print, Later, Start).verdict == KeyVerdict::Start);
    CHECK(table.begin("k", Print, Later, Start).verdict == KeyVerdict::Wait);
    table.ended("k", Outcome::NotRun, Reason::Overloaded, std::nullopt, Start);
    CHECK(table.begin("k", Print, Later, Start).verdict == KeyVerdict::Start);
    table.ended("k", Outcome::Run, Reason::AnswerNotHeld, StoredAnswer {200, {}, "body", "d"},
                Start);
    const KeyDecision replay = table.begin("k", Print, Later, Start);
    REQUIRE(replay.verdict == KeyVerdict::Replay);
    CHECK(replay.answer->body == "body");
}

TEST_CASE("a repeat of a key with another call is refused")
{
    KeyTable table;
    table.begin("k", Print, Later, Start);
    const KeyDecision other = table.begin("k", {3, 4}, Later, Start);
    CHECK(other.verdict == KeyVerdict::Refuse);
    CHECK(other.reason == Reason::BadKey);
}

TEST_CASE("an unknown outcome stays unknown for as long as the key is accepted")
{
    KeyTable table;
    table.begin("k", Print, Later, Start);
    table.ended("k", Outcome::Unknown, Reason::AnswerLost, std::nullopt, Start);
    table.expire(Later - std::chrono::seconds(1));
    const KeyDecision again = table.begin("k", Print, Later, Later - std::chrono::seconds(1));
    CHECK(again.verdict == KeyVerdict::Refuse);
    CHECK(again.outcome == Outcome::Unknown);
    table.expire(Later);
    CHECK(table.size() == 0);
    CHECK(table.begin("k", Print, Later, Later).reason == Reason::KeyExpired);
}
