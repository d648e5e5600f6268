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
        ConfigurationSimulation simulation(NearDaemons, FarDaemons);
        simulation.publish(3, routes);
        simulation.start();
        REQUIRE(simulation.maxPropagationTime(3));
        simulation.rejectReaders();
        simulation.publish(7, routes);
        simulation.run(10s);
        REQUIRE(simulation.maxPropagationTime(7));
        MESSAGE("slowest after "
                << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
        CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
        CHECK(simulation.neverRolledBack());
    }
}

TEST_CASE("a change is in force in time though the store turns its readers away a second time")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.rejectReaders();
    simulation.run(5s);
    CHECK(simulation.pendingReads() == Readers);
    // The first readers are served again, and those who took over are not.
    simulation.rejectReaders();
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(7));
}

TEST_CASE("a change is in force in time though the store turns away all that may be readers")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.rejectReaderCandidates();
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    REQUIRE(simulation.maxPropagationTime(7));
    MESSAGE("slowest after "
            << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
    CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
    // Those that the store serves follow it from then on.
    simulation.publish(11, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(11));
}

TEST_CASE("the number of readers is the same again once the store serves everyone")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    CHECK(simulation.pendingReads() == Readers);
    simulation.setRejectAll(true);
    simulation.run(20s);
    const std::size_t before = simulation.rejectedCalls();
    simulation.run(10s);
    // Each candidate tries about once a second, and of the others one after the other.
    constexpr std::size_t TurnsPerSecond = 4;
    const std::size_t perSecond = (simulation.rejectedCalls() - before) / 10;
    MESSAGE("calls a second to a store that answers nobody: " << perSecond);
    CHECK(perSecond <= (MaxReaderCandidatesPerDataCentre + TurnsPerSecond) * DataCentres);
    simulation.setRejectAll(false);
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(7));
    CHECK(simulation.pendingReads() == Readers);
}
