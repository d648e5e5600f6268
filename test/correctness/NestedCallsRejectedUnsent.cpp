// Guards against nested calls that their entry daemon refuses without sending them, because it
// assumes the run time and the queueing delay of the long calls that callers send to the service.
#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    Fixture()
    {
        addMembers(members, "a", "a1", "uploads", 3, 6);
        placement.membersChanged(members);
        placement.configurationChanged(configurationFor(members));
        LoadReport report;
        report.inUse = 6;
        report.waiting = 8;
        report.limit = 6;
        report.state = BackendState::Warm;
        report.answerMicros = 400'000;
        for (const Member &member : members) {
            placement.loadReported(member.id, report, now);
        }
    }

    CallAttributes attributes(bool nested) const
    {
        CallAttributes attributes = attributesFor("uploads");
        attributes.nested = nested;
        attributes.objective = now + milliseconds(80);
        attributes.deadline = now + milliseconds(200);
        return attributes;
    }

    std::vector<Member> members;
    SeededRandom random {1};
    Placement placement {{{"a1-x", 1}, "a", "a1"}, random};
    TimePoint now = TimePoint() + milliseconds(1000);
};

} // namespace

TEST_CASE("a short nested call is sent to a service that is saturated with long calls")
{
    Fixture fixture;
    const auto choice = fixture.placement.pick(fixture.attributes(true), {}, fixture.now);
    REQUIRE(std::holds_alternative<PlacedAttempt>(choice));
    // The attempt may wait until a slot becomes free.
    CHECK(std::get<PlacedAttempt>(choice).startBy > fixture.now);
}

TEST_CASE("a call of a caller that cannot meet its deadline is refused at once")
{
    Fixture fixture;
    const auto choice = fixture.placement.pick(fixture.attributes(false), {}, fixture.now);
    REQUIRE(std::holds_alternative<Reason>(choice));
    CHECK(std::get<Reason>(choice) == Reason::Overloaded);
}
