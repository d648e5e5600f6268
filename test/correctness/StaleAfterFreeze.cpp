// Guards against a daemon that takes work although a newer version may exist: after a freeze, in a
// region that is cut off, or on the word of a peer with another version.
#include "decisions/Freshness.h"
#include "support/ConfigurationSamples.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

const TimePoint Start {100s};

Member member(std::string name)
{
    Member member;
    member.id.name = std::move(name);
    return member;
}

PeerContact unreachablePeer(std::string name, std::string region, TimePoint asked)
{
    return {std::move(name), std::move(region), asked, 1, std::nullopt, false};
}

/// The random pings of the last 2 s.
void endPings(Freshness &freshness, TimePoint now, bool answered)
{
    for (auto age = 2000ms; age >= 0ms; age -= 200ms) {
        freshness.pingEnded(now - age, answered);
    }
}

} // namespace

TEST_CASE("evidence counts from the time of the question, so a freeze makes it old")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(1));
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
    freshness.logRead(Start, true);
    CHECK(freshness.verdict(Start + 2500ms) == FreshnessVerdict::Fresh);
    REQUIRE(freshness.nextChange(Start));
    CHECK(freshness.verdict(*freshness.nextChange(Start)) == FreshnessVerdict::Stale);
    // The answer to a question sent before a freeze of 10 s.
    freshness.peerAnswered({"b", "klang", Start, 1, Start, true});
    CHECK(freshness.verdict(Start + 10s) == FreshnessVerdict::Stale);
}

TEST_CASE("evidence for another version does not count")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(2));
    freshness.peerAnswered({"b", "klang", Start, 1, Start, true});
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
    freshness.peerAnswered({"c", "klang", Start, 2, Start, true});
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Fresh);
    freshness.inForce(*sampleConfiguration(3));
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
}

TEST_CASE("the log is known to be down by a majority, one of them in its region")
{
    Freshness freshness("p", "penang");
    freshness.inForce(*sampleConfiguration(1));
    std::vector<Member> members {member("p"), member("q"), member("k"), member("l")};
    freshness.membersChanged(members);
    freshness.logFailed(Start);
    freshness.peerAnswered(unreachablePeer("q", "penang", Start));
    endPings(freshness, Start, true);
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
    freshness.peerAnswered(unreachablePeer("k", "klang", Start));
    CHECK(freshness.verdict(Start) == FreshnessVerdict::LogDown);
    CHECK(freshness.verdict(Start + 3s) == FreshnessVerdict::Stale);
    members[1].state = MemberState::Unreachable;
    members[2].state = MemberState::Suspect;
    freshness.membersChanged(members);
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
}

TEST_CASE("contact within the own region does not show that the log is down")
{
    Freshness freshness("p", "penang");
    freshness.inForce(*sampleConfiguration(1));
    const std::vector<Member> members {member("p"), member("q"), member("k")};
    freshness.membersChanged(members);
    freshness.logFailed(Start);
    freshness.peerAnswered(unreachablePeer("q", "penang", Start));
    endPings(freshness, Start, true);
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
}

TEST_CASE("a peer with a newer version keeps a daemon from serving with the older one")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(1));
    freshness.logFailed(Start);
    CHECK(freshness.verdict(Start) == FreshnessVerdict::LogDown);
    freshness.peerAnswered({"b", "klang", Start, 2, std::nullopt, false});
    CHECK(freshness.verdict(Start) == FreshnessVerdict::Stale);
}

TEST_CASE("a single daemon in the log's region goes on while the log is down")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(1));
    freshness.logRead(Start, true);
    freshness.logFailed(Start + 2s);
    CHECK(freshness.verdict(Start + 3s) == FreshnessVerdict::LogDown);
}

TEST_CASE("the end of the evidence is known before it comes")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(1));
    CHECK_FALSE(freshness.freshUntil(Start));
    freshness.logRead(Start, true);
    CHECK(freshness.freshUntil(Start) == Start + 2500ms);
    CHECK(freshness.freshUntil(Start + 2500ms) == Start + 2500ms);
    CHECK_FALSE(freshness.freshUntil(Start + 2501ms));
    // The outage of the log carries on where the own evidence ends.
    freshness.logFailed(Start + 1200ms);
    CHECK(freshness.freshUntil(Start + 1200ms) == Start + 3700ms);
    CHECK(freshness.freshUntil(Start + 3s) == Start + 3700ms);
    CHECK_FALSE(freshness.freshUntil(Start + 3701ms));
}

TEST_CASE(
    "neither a read that lasted through a freeze nor the first contacts after it show an outage")
{
    Freshness freshness("a", "klang");
    freshness.inForce(*sampleConfiguration(1));
    const std::vector<Member> members {member("a"), member("b"), member("c")};
    freshness.membersChanged(members);
    endPings(freshness, Start, true);
    freshness.logRead(Start, true);
    const TimePoint thaw = Start + 4s;
    freshness.logFailed(Start + 250ms);
    CHECK_FALSE(freshness.freshUntil(thaw));
    // The neighbour was frozen as well and does not know the newest version either.
    freshness.peerAnswered(unreachablePeer("b", "klang", thaw));
    freshness.pingEnded(thaw, true);
    CHECK_FALSE(freshness.freshUntil(thaw + 2ms));
    freshness.peerAnswered({"c", "klang", thaw + 200ms, 2, thaw, true});
    endPings(freshness, thaw + 2s, true);
    CHECK_FALSE(freshness.freshUntil(thaw + 2s));
}
