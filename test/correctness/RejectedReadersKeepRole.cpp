// Guards against a change that comes into force nowhere, because the store turns those daemons away
// that read it for all others, and serves the others.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 24;
constexpr std::size_t FarDaemons = 24;
constexpr std::size_t DataCentres = 4;
/// Readers of a data centre when all is well.
constexpr std::size_t Readers = ReadersPerDataCentre * DataCentres;

} // namespace

TEST_CASE("a change is in force in time though the store turns all its readers away")
{
    for (const std::size_t routes : {FewRoutes, ManyRoutes}) {
        CAPTURE(routes);
        ConfigurationSimulation world(NearDaemons, FarDaemons);
        world.publish(3, routes);
        world.start();
        REQUIRE(world.slowest(3));
        world.turnReadersAway();
        world.publish(7, routes);
        world.run(10s);
        REQUIRE(world.slowest(7));
        MESSAGE("slowest after " << std::chrono::duration<double>(*world.slowest(7)).count());
        CHECK(*world.slowest(7) <= ApplyTime);
        CHECK(world.neverBack());
    }
}

TEST_CASE("a change is in force in time though the store turns its readers away a second time")
{
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, FewRoutes);
    world.start();
    world.turnReadersAway();
    world.run(5s);
    CHECK(world.waitingReads() == Readers);
    // The first readers are served again, and those who took over are not.
    world.turnReadersAway();
    world.publish(7, FewRoutes);
    world.run(10s);
    CHECK(world.inForceInTime(7));
}

TEST_CASE("a change is in force in time though the store turns away all that may be readers")
{
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, FewRoutes);
    world.start();
    world.turnCandidatesAway();
    world.publish(7, FewRoutes);
    world.run(10s);
    REQUIRE(world.slowest(7));
    MESSAGE("slowest after " << std::chrono::duration<double>(*world.slowest(7)).count());
    CHECK(*world.slowest(7) <= ApplyTime);
    // Those that the store serves follow it from then on.
    world.publish(11, FewRoutes);
    world.run(10s);
    CHECK(world.inForceInTime(11));
}

TEST_CASE("the number of readers is the same again once the store serves everyone")
{
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, FewRoutes);
    world.start();
    CHECK(world.waitingReads() == Readers);
    world.turnAllAway(true);
    world.run(20s);
    const std::size_t before = world.rejectedCalls();
    world.run(10s);
    // Each candidate tries about once a second, and of the others one after the other.
    constexpr std::size_t TurnsPerSecond = 4;
    const std::size_t perSecond = (world.rejectedCalls() - before) / 10;
    MESSAGE("calls a second to a store that answers nobody: " << perSecond);
    CHECK(perSecond <= (MaxReaderCandidatesPerDataCentre + TurnsPerSecond) * DataCentres);
    world.turnAllAway(false);
    world.publish(7, FewRoutes);
    world.run(10s);
    CHECK(world.inForceInTime(7));
    CHECK(world.waitingReads() == Readers);
}
