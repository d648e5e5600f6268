// Guards against calls to a server whose daemon has reported that it accepts no runs, while the
// membership protocol still describes it as warm.
#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const DaemonId Closed {"a1-s-0", 1};
const DaemonId Open {"a1-s-1", 1};
constexpr unsigned Calls = 100;

struct Fixture
{
    explicit Fixture(unsigned servers)
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", "s", servers);
        placement.membersChanged(members);
        placement.configurationChanged(configurationFor(members));
        LoadReport report;
        report.state = BackendState::Draining;
        placement.loadReported(Closed, report, now);
    }

    /// \return number of Calls that are placed at the closed server.
    unsigned placedAtClosed()
    {
        unsigned placed = 0;
        for (unsigned i = 0; i < Calls; ++i) {
            const auto choice = placement.pick(attributesFor("s"), {}, now);
            const auto *attempt = std::get_if<PlacedAttempt>(&choice);
            placed += attempt && attempt->target.daemon == Closed ? 1 : 0;
        }
        return placed;
    }

    SeededRandom random {7};
    Placement placement {{{"a1-e-0", 1}, "a", "a1"}, random};
    TimePoint now = TimePoint() + seconds(10);
};

} // namespace

TEST_CASE("a server that accepts no runs gets no calls, even if the others are busy")
{
    Fixture fixture(2);
    LoadReport busy;
    busy.limit = 9;
    busy.inUse = 9;
    busy.waiting = 9;
    busy.state = BackendState::Warm;
    fixture.placement.loadReported(Open, busy, fixture.now);
    CHECK(fixture.placedAtClosed() == 0);
}

TEST_CASE("a call that only a server which accepts no runs could take is not sent")
{
    Fixture fixture(1);
    CHECK(std::get<Reason>(fixture.placement.pick(attributesFor("s"), {}, fixture.now))
          == Reason::Overloaded);
}

TEST_CASE("a server gets calls again once its daemon reports slots")
{
    Fixture fixture(1);
    LoadReport open;
    open.limit = 9;
    open.state = BackendState::Warm;
    fixture.placement.loadReported(Closed, open, fixture.now);
    CHECK(fixture.placedAtClosed() == Calls);
}

TEST_CASE("a server is not avoided for good, since reports go only to recent senders")
{
    Fixture fixture(1);
    fixture.now += Placement::ClosedReportLifetime - milliseconds(1);
    CHECK(fixture.placedAtClosed() == 0);
    fixture.now += milliseconds(1);
    CHECK(fixture.placedAtClosed() == Calls);
}
