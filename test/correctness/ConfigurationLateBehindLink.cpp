// Guards against a large configuration becoming active late in a region because all daemons of the
// region fetch it over the same link (docs/incidents/2026-12-04-configuration-behind-link.md).
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 41;
constexpr std::size_t FarDaemons = 49;

} // namespace

TEST_CASE("a large configuration becomes active in time behind a link of limited bandwidth")
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

TEST_CASE(
    "each of many successive changes becomes active in time behind a link of limited bandwidth")
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

TEST_CASE("disconnected store readers do not delay other daemons")
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
        MESSAGE("maximum propagation time in s: "
                << std::chrono::duration<double>(*simulation.maxPropagationTime(7)).count());
        CHECK(*simulation.maxPropagationTime(7) <= PropagationLimit);
    }
}

TEST_CASE("the traffic of a large configuration on a link does not grow with the daemons behind it")
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

TEST_CASE("all daemons that start at once apply a large configuration in time")
{
    ConfigurationSimulation simulation(NearDaemons, FarDaemons);
    simulation.publish(3, ManyRoutes);
    simulation.startAll();
    simulation.run(10s);
    REQUIRE(simulation.maxPropagationTime(3));
    MESSAGE("maximum propagation time in s: "
            << std::chrono::duration<double>(*simulation.maxPropagationTime(3)).count());
    CHECK(*simulation.maxPropagationTime(3) <= PropagationLimit);
}
