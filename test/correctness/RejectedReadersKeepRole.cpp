// Guards against a change that becomes active nowhere because the store rejects the readers and
// serves only the other daemons.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 24;
constexpr std::size_t FarDaemons = 24;
constexpr std::size_t DataCentres = 4;
/// Number of readers in all data centres when the store serves all daemons.
constexpr std::size_t Readers = ReadersPerDataCentre * DataCentres;

} // namespace

TEST_CASE("a change becomes active in time when the store rejects all readers")
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
        MESSAGE("maximum propagation time in s: "
                << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
        CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
        CHECK(simulation.neverRolledBack());
    }
}

TEST_CASE("a change becomes active in time when the store rejects the readers a second time")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.rejectReaders();
    simulation.run(5s);
    CHECK(simulation.pendingReads() == Readers);
    // The store serves the first readers again and rejects their replacements.
    simulation.rejectReaders();
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(7));
}

TEST_CASE("a change becomes active in time when the store rejects all reader candidates")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.rejectReaderCandidates();
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    REQUIRE(simulation.maxPropagationTime(7));
    MESSAGE("maximum propagation time in s: "
            << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
    CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
    // From now on the daemons that the store serves long-poll it.
    simulation.publish(11, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(11));
}

TEST_CASE("the number of readers is normal again when the store serves all daemons")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    CHECK(simulation.pendingReads() == Readers);
    simulation.setRejectAll(true);
    simulation.run(20s);
    const std::size_t before = simulation.rejectedCalls();
    simulation.run(10s);
    // Each candidate retries about once a second; the other daemons try in rotation.
    constexpr std::size_t TurnsPerSecond = 4;
    const std::size_t perSecond = (simulation.rejectedCalls() - before) / 10;
    MESSAGE("calls per second to a store that rejects all daemons: " << perSecond);
    CHECK(perSecond <= (MaxReaderCandidatesPerDataCentre + TurnsPerSecond) * DataCentres);
    simulation.setRejectAll(false);
    simulation.publish(7, FewRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(7));
    CHECK(simulation.pendingReads() == Readers);
}
