// Guards against a large configuration that comes into force late in a region, because all its
// daemons fetch it over the same link (docs/incidents/2026-12-04-configuration-behind-link.md).
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 41;
constexpr std::size_t FarDaemons = 49;

} // namespace

TEST_CASE("a large configuration is in force in time behind a narrow link")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    REQUIRE(simulation.maxPropagationTime(3));
    simulation.publish(7, ManyRoutes);
    simulation.run(10s);
    CHECK(simulation.isPropagatedInTime(7));
    CHECK(simulation.neverRolledBack());
}

TEST_CASE("each of many changes in a row is in force in time behind a narrow link")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.publish(7, ManyRoutes);
    simulation.run(10s);
    for (ConfigurationVersion version = 8; version < 16; ++version) {
        simulation.publish(version, ManyRoutes);
        simulation.run(600ms);
    }
    simulation.run(10s);
    for (ConfigurationVersion version = 8; version < 16; ++version) {
        CAPTURE(version);
        CHECK(simulation.isPropagatedInTime(version));
    }
    CHECK(simulation.neverRolledBack());
}

TEST_CASE("readers of the store that are cut off delay nobody else")
{
    for (const bool everywhere : {false, true}) {
        CAPTURE(everywhere);
        ConfigurationSimulation simulation(NearDaemons, FarDaemons);
        simulation.publish(3, ManyRoutes);
        simulation.start();
        REQUIRE(simulation.maxPropagationTime(3));
        simulation.disconnectReaders("far");
        if (everywhere) {
            simulation.disconnectReaders("near");
        }
        simulation.publish(7, ManyRoutes);
        simulation.run(10s);
        REQUIRE(simulation.maxPropagationTime(7));
        MESSAGE("slowest after "
                << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
        CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
    }
}

TEST_CASE("what a large configuration takes on a link does not grow with the daemons behind it")
{
    const auto bytes = [](std::size_t far) {
        ConfigurationSimulation simulation(NearDaemons, far);
        simulation.publish(3, ManyRoutes);
        simulation.start();
        const std::uint64_t before = simulation.bytesToFar();
        simulation.publish(7, ManyRoutes);
        simulation.run(10s);
        REQUIRE(simulation.maxPropagationTime(7));
        return static_cast<double>(simulation.bytesToFar() - before);
    };
    CHECK(bytes(80) <= 1.5 * bytes(20));
}

TEST_CASE("all daemons that start at once know a large configuration in time")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, ManyRoutes);
    simulation.startAll();
    simulation.run(10s);
    REQUIRE(simulation.maxPropagationTime(3));
    MESSAGE("slowest after "
            << std::chrono::duration<double>(*simulation.maxPropagationTime(3)).count());
    CHECK(*simulation.maxPropagationTime(3) <= PropagationLimit);
}
