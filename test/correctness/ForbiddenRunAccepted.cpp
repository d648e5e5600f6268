// Guards against a serving daemon that runs a call although the active configuration or the state
// of its backend server forbids it.
#include "PlacementFixture.h"
#include "services/BackendTracker.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

namespace {

const Locality ThisDaemon {{"a1-s-0", 1}, "a", "a1"};

struct Fixture
{
    Fixture()
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", "s", 1);
        configuration = std::make_shared<Configuration>(*configurationFor(members));
        heartbeat.instance = "i";
        heartbeat.service = "s";
        heartbeat.slots = 9;
        heartbeat.sequence = 1;
        tracker.registration.heartbeatReceived(heartbeat, now, 0);
        tracker.instanceReplaced(now);
        run.service = "s";
        run.deadline = now + milliseconds(10'000);
        apply();
    }

    void apply()
    {
        tracker.configurationChanged(std::make_shared<const Configuration>(*configuration));
    }

    std::optional<Reason> refusal() const { return tracker.refusalReason(run, now); }

    std::shared_ptr<Configuration> configuration;
    BackendHeartbeat heartbeat;
    BackendTracker tracker {ThisDaemon};
    RunAttempt run;
    TimePoint now {};
};

} // namespace

TEST_CASE("a permitted call may run")
{
    CHECK_FALSE(Fixture().refusal());
}

TEST_CASE("no call runs in a data centre out of service or on a drained server")
{
    Fixture fixture;
    fixture.configuration->drained.insert(ThisDaemon.self.name);
    fixture.apply();
    CHECK(fixture.refusal() == Reason::Draining);
    fixture.configuration->dataCentres["a1"].inService = false;
    fixture.apply();
    CHECK(fixture.refusal() == Reason::DataCentreOut);
}

TEST_CASE("the return of a data centre to service is reported, since its servers may be cold")
{
    Fixture fixture;
    fixture.configuration->dataCentres["a1"].inService = false;
    fixture.apply();
    fixture.configuration->dataCentres["a1"].inService = true;
    CHECK(fixture.tracker.configurationChanged(
        std::make_shared<const Configuration>(*fixture.configuration)));
}

TEST_CASE("a call runs only in its home regions")
{
    Fixture fixture;
    fixture.run.call.homeRegions = {"b"};
    CHECK(fixture.refusal() == Reason::OutsideHomeRegions);
    fixture.run.call.homeRegions = {"b", "a"};
    CHECK_FALSE(fixture.refusal());
}

TEST_CASE("a deregistered server accepts no calls")
{
    Fixture fixture;
    fixture.tracker.registration.processLeft("i", fixture.now, 0);
    CHECK(fixture.refusal() == Reason::Draining);
    CHECK(fixture.tracker.unavailableReason() == Reason::Draining);
    CHECK(fixture.tracker.state(fixture.now) == BackendState::Draining);
}

TEST_CASE("a draining server accepts no calls, also after a late heartbeat")
{
    Fixture fixture;
    BackendHeartbeat draining = fixture.heartbeat;
    draining.sequence = 3;
    draining.state = AnnouncedState::Draining;
    fixture.tracker.heartbeatReceived(draining, fixture.now, 0);
    CHECK(fixture.refusal() == Reason::Draining);
    BackendHeartbeat late = fixture.heartbeat;
    late.sequence = 2;
    fixture.tracker.heartbeatReceived(late, fixture.now, 0);
    CHECK(fixture.refusal() == Reason::Draining);
}

TEST_CASE("a server does not run calls for another service")
{
    Fixture fixture;
    fixture.run.service = "other";
    CHECK(fixture.refusal() == Reason::NoBackendServer);
}

TEST_CASE("no call runs before the first heartbeat or without a configuration")
{
    Fixture fixture;
    BackendTracker unregistered {ThisDaemon};
    unregistered.configurationChanged(fixture.configuration);
    CHECK(unregistered.refusalReason(fixture.run, fixture.now) == Reason::NoBackendServer);
    BackendTracker unconfigured {ThisDaemon};
    unconfigured.registration.heartbeatReceived(fixture.heartbeat, fixture.now, 0);
    CHECK(unconfigured.refusalReason(fixture.run, fixture.now) == Reason::StaleConfiguration);
}

TEST_CASE("no call starts at or after its deadline")
{
    Fixture fixture;
    fixture.now = fixture.run.deadline;
    CHECK(fixture.refusal() == Reason::Deadline);
}
