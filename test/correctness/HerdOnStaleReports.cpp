// Guards against a thundering herd of daemons that all follow the same outdated load report.
#include "PlacementFixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

TEST_CASE("a server reported as idle gets at most twice its share")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 8);
    constexpr unsigned Senders = 40;
    constexpr unsigned CallsPerSender = 100;
    std::map<DaemonId, unsigned> calls;
    const TimePoint now {};
    for (unsigned sender = 0; sender < Senders; ++sender) {
        SeededRandom random(sender);
        Placement placement({{"a1-x" + std::to_string(sender), 1}, "a", "a1"}, random);
        placement.membersChanged(members);
        placement.configurationChanged(configurationFor(members));
        for (const Member &member : members) {
            const bool idle = member.id == members[0].id;
            LoadReport report;
            report.inUse = idle ? 0U : 9U;
            report.limit = 9;
            report.state = BackendState::Warm;
            placement.loadReported(member.id, report, now + milliseconds(1));
        }
        for (unsigned i = 0; i < CallsPerSender; ++i) {
            const auto choice = placement.pick(attributesFor("s"), {}, now + milliseconds(1));
            const DaemonId target = std::get<PlacedAttempt>(choice).target.daemon;
            placement.attemptSent(target);
            ++calls[target];
            // No call ends during the test, so only the daemon's own count can spread the calls.
        }
    }
    CHECK(calls[members[0].id] <= 2 * Senders * CallsPerSender / members.size());
}
