// Guards against decisions on insufficient evidence: the suspicion of one observer, and replies
// that are missing after the daemon itself was paused. Also guards against a replaced process that
// is not notified of its replacement.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

MemberRecord recordOf(std::size_t index)
{
    MemberRecord record;
    record.member.id = {"daemon-" + std::to_string(index), 5};
    record.member.endpoint = MembershipSimulation::endpointOf(index);
    return record;
}

struct Fixture
{
    SeededRandom random {testSeed("unconfirmed suspicion", 21)};
    Membership membership {recordOf(0).member, {}, random};
    TimePoint now {std::chrono::hours(1)};

    Fixture()
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 1; i < 200; ++i) {
            records.push_back(recordOf(i));
        }
        membership.handleSyncAnswer(records, now);
    }

    MemberState stateOf(std::size_t index) const { return membership.members()[index].state; }

    Membership::Outputs receive(MemberRecord record)
    {
        const MemberRecord from = recordOf(2);
        return membership.handle({from, Ping {}, {std::move(record)}}, from.member.endpoint, now);
    }
};

} // namespace

TEST_CASE("a single observer does not make a member unreachable")
{
    Fixture f;
    MemberRecord record = recordOf(9);
    record.observers = {"daemon-2"};
    record.member.state = MemberState::Unreachable;
    f.receive(record);
    CHECK(f.stateOf(9) == MemberState::Suspect);
    for (int i = 0; i < 30; ++i) {
        f.membership.tick(f.now += 100ms);
    }
    CHECK(f.stateOf(9) == MemberState::Suspect);
}

TEST_CASE("missing replies after a pause raise no suspicion")
{
    Fixture f;
    for (int i = 0; i < 5; ++i) {
        f.membership.tick(f.now += 100ms);
    }
    f.membership.tick(f.now += 20s);
    CHECK(f.membership.counts().suspicions == 0);
}

TEST_CASE("a reply notifies a replaced process of its replacement")
{
    Fixture f;
    MemberRecord replacedProcess = recordOf(9);
    replacedProcess.member.id.incarnation = 4;
    const auto outputs = f.membership.handle({replacedProcess, Ping {}, {}},
                                             replacedProcess.member.endpoint, f.now);
    REQUIRE(outputs.size() == 1);
    const Datagram &answer = std::get<SendDatagram>(outputs.front()).datagram;
    REQUIRE(!answer.records.empty());
    CHECK(answer.records.front() == recordOf(9));
}
