// Guards against single pieces of news that are believed too easily or not passed on: the word of
// one observer, missing answers after a pause, and a predecessor that is not told of its successor.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

MemberRecord memberNumber(std::size_t index)
{
    MemberRecord record;
    record.member.id = {"daemon-" + std::to_string(index), 5};
    record.member.endpoint = MembershipSimulation::endpointOf(index);
    return record;
}

struct Fixture
{
    SeededRandom random {testSeed("doubtful news", 21)};
    Membership membership {memberNumber(0).member, {}, random};
    TimePoint now {std::chrono::hours(1)};

    Fixture()
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 1; i < 200; ++i) {
            records.push_back(memberNumber(i));
        }
        membership.handleSyncAnswer(records, now);
    }

    MemberState stateOf(std::size_t index) const { return membership.members()[index].state; }

    Membership::Outputs hear(MemberRecord record)
    {
        const MemberRecord from = memberNumber(2);
        return membership.handle({from, Ping {}, {std::move(record)}}, from.member.endpoint, now);
    }
};

} // namespace

TEST_CASE("one observer alone makes nobody unreachable")
{
    Fixture f;
    MemberRecord record = memberNumber(9);
    record.observers = {"daemon-2"};
    record.member.state = MemberState::Unreachable;
    f.hear(record);
    CHECK(f.stateOf(9) == MemberState::Suspect);
    for (int i = 0; i < 30; ++i) {
        f.membership.tick(f.now += 100ms);
    }
    CHECK(f.stateOf(9) == MemberState::Suspect);
}

TEST_CASE("answers that are missing after a pause prove nothing")
{
    Fixture f;
    for (int i = 0; i < 5; ++i) {
        f.membership.tick(f.now += 100ms);
    }
    f.membership.tick(f.now += 20s);
    CHECK(f.membership.counts().suspicions == 0);
}

TEST_CASE("an answer tells an earlier process of its successor")
{
    Fixture f;
    MemberRecord old = memberNumber(9);
    old.member.id.incarnation = 4;
    const auto outputs = f.membership.handle({old, Ping {}, {}}, old.member.endpoint, f.now);
    REQUIRE(outputs.size() == 1);
    const Datagram &answer = std::get<SendDatagram>(outputs.front()).datagram;
    REQUIRE(!answer.records.empty());
    CHECK(answer.records.front() == memberNumber(9));
}
