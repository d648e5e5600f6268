// Guards against a serving daemon that runs a call which the configuration in force forbids here.
#include "RoutingWorld.h"
#include "services/BackendRun.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

namespace {

const Place Here {{"a1-s-0", 1}, "a", "a1"};

struct World
{
    Configuration configuration;
    RunAttempt run;
    TimePoint now {};
    TimePoint freshUntil = TimePoint::max();

    World()
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", "s", 1);
        configuration = *configurationFor(members);
        run.envelope.attempt = AttemptEnvelope {{1, 2}, Here.self, 1, "s"};
        run.deadline = now + milliseconds(100);
    }

    std::optional<Reason> refusal() const
    {
        return refusalByRules(run, Here, &configuration, freshUntil, now);
    }
};

} // namespace

TEST_CASE("a call that nothing forbids runs")
{
    CHECK_FALSE(World().refusal());
}

TEST_CASE("a data centre out of service and a drained server run nothing")
{
    World world;
    world.configuration.drained.insert(Here.self.name);
    CHECK(world.refusal() == Reason::Draining);
    world.configuration.dataCentres["a1"].inService = false;
    CHECK(world.refusal() == Reason::DataCentreOut);
}

TEST_CASE("a call runs in its home regions only")
{
    World world;
    world.run.envelope.homeRegions = {"b"};
    CHECK(world.refusal() == Reason::OutsideHomeRegions);
    world.run.envelope.homeRegions = {"b", "a"};
    CHECK_FALSE(world.refusal());
}

TEST_CASE(
    "a daemon without fresh news refuses unless the service allows it, never an older version")
{
    World world;
    world.freshUntil = world.now;
    CHECK_FALSE(world.refusal());
    world.now += milliseconds(1);
    CHECK(world.refusal() == Reason::StaleConfiguration);
    world.configuration.services["s"].whenIsolated = IsolationPolicy::Serve;
    CHECK_FALSE(world.refusal());
    world.run.envelope.attempt->version = 2;
    CHECK(world.refusal() == Reason::StaleConfiguration);
}

TEST_CASE("no call starts after its deadline")
{
    World world;
    world.now = world.run.deadline;
    CHECK(world.refusal() == Reason::Deadline);
}
