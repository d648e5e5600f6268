// Guards against placement by long-term averages, which sends calls to a server that is slow now: a
// quarter of the servers is seven times slower for half a second, a different quarter each time.
#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t SlowPercent = 700;

LoadReport loadReportOf(std::uint32_t slowness, std::uint32_t inUse = 2)
{
    LoadReport report;
    report.inUse = inUse;
    report.limit = 9;
    report.state = BackendState::Warm;
    report.slownessPercent = slowness;
    report.answerMicros = 60'000;
    return report;
}

struct Fixture
{
    Fixture()
    {
        addMembers(members, "a", "a1", "s", 2);
        addMembers(members, "a", "a2", "s", 2);
        addMembers(members, "b", "b1", "s", 2);
        placement.membersChanged(members);
        placement.configurationChanged(configurationFor(members));
        for (const Member &member : members) {
            placement.loadReported(member.id, loadReportOf(100), now);
        }
    }

    std::string dataCentreOfChoice()
    {
        const auto choice = placement.pick(attributesFor("s"), {}, now);
        const DaemonId daemon = std::get<PlacedAttempt>(choice).target.daemon;
        return daemon.name.substr(0, 2);
    }

    std::vector<Member> members;
    SeededRandom random {1};
    Placement placement {{{"a1-x", 1}, "a", "a1"}, random};
    TimePoint now = TimePoint() + milliseconds(1000);
};

} // namespace

TEST_CASE("calls stay in the local data centre while its servers are fast")
{
    Fixture fixture;
    for (int i = 0; i < 50; ++i) {
        CHECK(fixture.dataCentreOfChoice() == "a1");
    }
}

TEST_CASE("calls avoid slow servers in favour of the next data centre and then another region")
{
    Fixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.placement.loadReported(fixture.members[i].id, loadReportOf(SlowPercent),
                                       fixture.now);
    }
    CHECK(fixture.dataCentreOfChoice() == "a2");
    for (int i = 2; i < 4; ++i) {
        fixture.placement.loadReported(fixture.members[i].id, loadReportOf(SlowPercent),
                                       fixture.now);
    }
    CHECK(fixture.dataCentreOfChoice() == "b1");
}

TEST_CASE("a call without a body stays local if another data centre is only slightly faster")
{
    // Its answer has a transfer cost too, although the size is unknown when the call is placed.
    Fixture fixture;
    constexpr std::uint32_t SlightlySlowPercent = 115;
    for (int i = 0; i < 2; ++i) {
        fixture.placement.loadReported(fixture.members[i].id, loadReportOf(SlightlySlowPercent),
                                       fixture.now);
    }
    CHECK(fixture.dataCentreOfChoice() == "a1");
}

TEST_CASE("an old slowness report is ignored")
{
    Fixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.placement.loadReported(fixture.members[i].id, loadReportOf(SlowPercent),
                                       fixture.now);
    }
    fixture.now += std::chrono::seconds(5);
    CHECK(fixture.dataCentreOfChoice() == "a1");
}

TEST_CASE("a call with a large body stays local where a small call would move")
{
    Fixture fixture;
    fixture.placement.loadReported(fixture.members[0].id, loadReportOf(200), fixture.now);
    fixture.placement.loadReported(fixture.members[1].id, loadReportOf(200), fixture.now);
    CHECK(fixture.dataCentreOfChoice() == "a2");
    CallAttributes upload = attributesFor("s");
    upload.bodyBytes = 60'000;
    const auto choice = fixture.placement.pick(upload, {}, fixture.now);
    CHECK(std::get<PlacedAttempt>(choice).target.daemon.name.substr(0, 2) == "a1");
}
