// Guards against an island of a large system that takes a cut for an outage of the log and goes on
// with an old version, and against an outage of the log that stops a large system.
#include "decisions/Freshness.h"
#include "support/ConfigurationSamples.h"

#include <doctest/doctest.h>

#include <array>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Members = 1'000;
constexpr std::array<const char *, 3> Regions {"klang", "penang", "johor"};
constexpr auto PingPeriod = 200ms;
const TimePoint Start {1000s};

/// One daemon of a third region, which pings random others as the service "membership" does.
struct Daemon
{
    explicit Daemon(std::string_view region = "johor") : freshness("m0", std::string(region))
    {
        for (std::size_t i = 0; i < Members; ++i) {
            Member member;
            member.id.name = "m" + std::to_string(i);
            member.region = i == 0 ? region : Regions[i % Regions.size()];
            members.push_back(member);
        }
        freshness.inForce(*sampleConfiguration(1));
        freshness.membersChanged(members);
    }

    bool reaches(const Member &member) const { return !cut || member.region == members[0].region; }

    /// \param freshPeers true while peers have evidence from the log.
    void run(Duration duration, bool freshPeers)
    {
        for (const TimePoint end = now + duration; now < end; now += PingPeriod) {
            turn = 1 + (turn + 7) % (members.size() - 1);
            const Member &peer = members[turn];
            if (peer.state != MemberState::Unreachable) {
                freshness.pingEnded(now, reaches(peer));
            }
            if (reaches(peer)) {
                freshness.peerAnswered({peer.id.name, peer.region, now, 1,
                                        freshPeers ? std::optional(now) : std::nullopt,
                                        freshPeers});
            }
            staleTurns += freshness.verdict(now) == FreshnessVerdict::Stale ? 1 : 0;
        }
    }

    void loseOthers(MemberState state)
    {
        for (Member &member : members) {
            member.state = reaches(member) ? MemberState::Alive : state;
        }
        freshness.membersChanged(members);
    }

    void forgetOthers()
    {
        std::erase_if(
            members, [](const Member &member) { return member.state == MemberState::Unreachable; });
        freshness.membersChanged(members);
        turn = 0;
    }

    Freshness freshness;
    std::vector<Member> members;
    TimePoint now = Start;
    std::size_t turn = 0;
    std::size_t staleTurns = 0;
    bool cut = false;
};

} // namespace

TEST_CASE("1,000 daemons go on while the log is down for all")
{
    Daemon daemon;
    daemon.run(10s, true);
    daemon.staleTurns = 0;
    daemon.run(30min, false);
    CHECK(daemon.staleTurns == 0);
}

TEST_CASE("an island of a third stops within the freshness time of the cut")
{
    Daemon daemon;
    daemon.run(10s, true);
    daemon.cut = true;
    daemon.run(2600ms, false);
    CHECK(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::Stale);
    daemon.loseOthers(MemberState::Unreachable);
    daemon.run(1min, false);
    CHECK(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::Stale);
}

TEST_CASE("the log's region as an island does not go on when it loses the log as well")
{
    Daemon daemon("klang");
    daemon.run(10s, true);
    daemon.cut = true;
    daemon.run(3s, false);
    daemon.loseOthers(MemberState::Unreachable);
    daemon.staleTurns = 0;
    for (unsigned i = 0; i < 180; ++i) {
        daemon.freshness.logFailed(daemon.now);
        daemon.run(10s, false);
        if (i == 60) {
            daemon.forgetOthers();
        }
    }
    // 30 min of 5 turns a second.
    CHECK(daemon.staleTurns == 9'000);
}

TEST_CASE("members forgotten during a cut stop counting once the log is reached again")
{
    Daemon daemon("klang");
    daemon.cut = true;
    daemon.loseOthers(MemberState::Unreachable);
    daemon.forgetOthers();
    daemon.run(10s, false);
    CHECK(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::Stale);
    daemon.freshness.logRead(daemon.now, true);
    daemon.run(10s, false);
    CHECK(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::LogDown);
}

TEST_CASE("unanswered random pings end the rule before members are known to be lost")
{
    Daemon daemon("klang");
    daemon.run(10s, false);
    REQUIRE(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::LogDown);
    daemon.cut = true;
    daemon.run(2600ms, false);
    CHECK(daemon.freshness.verdict(daemon.now) == FreshnessVerdict::Stale);
}
