// Guards against a serving daemon that runs a call which the configuration in force or the state of
// its backend server forbids.
#include "PlacementFixture.h"
#include "services/BackendTracker.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

namespace {

const Locality Here {{"a1-s-0", 1}, "a", "a1"};
constexpr milliseconds DrainTime {1500};

struct World
{
    World()
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", "s", 1);
        configuration = std::make_shared<Configuration>(*configurationFor(members));
        heartbeat.instance = "i";
        heartbeat.service = "s";
        heartbeat.slots = 9;
        heartbeat.sequence = 1;
        state.registration.heartbeatReceived(heartbeat, now);
        state.replaced(now);
        run.service = "s";
        run.deadline = now + milliseconds(10'000);
        apply();
    }

    void apply()
    {
        state.configurationChanged(std::make_shared<const Configuration>(*configuration));
    }

    std::optional<Reason> refusal() const { return state.refusalOf(run, now); }

    std::shared_ptr<Configuration> configuration;
    BackendHeartbeat heartbeat;
    BackendTracker state {Here, DrainTime};
    RunAttempt run;
    TimePoint now {};
};

} // namespace

TEST_CASE("a call that nothing forbids runs")
{
    CHECK_FALSE(World().refusal());
}

TEST_CASE("a data centre out of service and a drained server run nothing")
{
    World world;
    world.configuration->drained.insert(Here.self.name);
    world.apply();
    CHECK(world.refusal() == Reason::Draining);
    world.configuration->dataCentres["a1"].inService = false;
    world.apply();
    CHECK(world.refusal() == Reason::DataCentreOut);
}

TEST_CASE("a data centre that comes back is noticed, since its servers may be cold")
{
    World world;
    world.configuration->dataCentres["a1"].inService = false;
    world.apply();
    world.configuration->dataCentres["a1"].inService = true;
    CHECK(world.state.configurationChanged(
        std::make_shared<const Configuration>(*world.configuration)));
}

TEST_CASE("a call runs in its home regions only")
{
    World world;
    world.run.call.homeRegions = {"b"};
    CHECK(world.refusal() == Reason::OutsideHomeRegions);
    world.run.call.homeRegions = {"b", "a"};
    CHECK_FALSE(world.refusal());
}

TEST_CASE("a server that leaves gets calls for a short time only")
{
    World world;
    world.state.registration.processLeft("i", world.now);
    CHECK_FALSE(world.refusal());
    CHECK(world.state.state(world.now) == BackendState::Draining);
    world.now += DrainTime + milliseconds(1);
    CHECK(world.refusal() == Reason::Draining);
}

TEST_CASE("a call for another service than the server's does not run")
{
    World world;
    world.run.service = "other";
    CHECK(world.refusal() == Reason::NoBackendServer);
}

TEST_CASE("a daemon that has heard no heartbeat and one without a configuration run nothing")
{
    World world;
    BackendTracker unheard {Here, DrainTime};
    unheard.configurationChanged(world.configuration);
    CHECK(unheard.refusalOf(world.run, world.now) == Reason::NoBackendServer);
    BackendTracker unconfigured {Here, DrainTime};
    unconfigured.registration.heartbeatReceived(world.heartbeat, world.now);
    CHECK(unconfigured.refusalOf(world.run, world.now) == Reason::StaleConfiguration);
}

TEST_CASE("no call starts after its deadline")
{
    World world;
    world.now = world.run.deadline;
    CHECK(world.refusal() == Reason::Deadline);
}
