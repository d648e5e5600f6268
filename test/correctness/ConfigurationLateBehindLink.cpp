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
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, FewRoutes);
    world.start();
    REQUIRE(world.slowest(3));
    world.publish(7, ManyRoutes);
    world.run(10s);
    CHECK(world.inForceInTime(7));
    CHECK(world.neverBack());
}

TEST_CASE("each of many changes in a row is in force in time behind a narrow link")
{
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, FewRoutes);
    world.start();
    world.publish(7, ManyRoutes);
    world.run(10s);
    for (ConfigurationVersion version = 8; version < 16; ++version) {
        world.publish(version, ManyRoutes);
        world.run(600ms);
    }
    world.run(10s);
    for (ConfigurationVersion version = 8; version < 16; ++version) {
        CAPTURE(version);
        CHECK(world.inForceInTime(version));
    }
    CHECK(world.neverBack());
}

TEST_CASE("readers of the store that are cut off delay nobody else")
{
    for (const bool everywhere : {false, true}) {
        CAPTURE(everywhere);
        ConfigurationSimulation world(NearDaemons, FarDaemons);
        world.publish(3, ManyRoutes);
        world.start();
        REQUIRE(world.slowest(3));
        world.cutReaders("far");
        if (everywhere) {
            world.cutReaders("near");
        }
        world.publish(7, ManyRoutes);
        world.run(10s);
        REQUIRE(world.slowest(7));
        MESSAGE("slowest after " << std::chrono::duration<double>(*world.slowest(7)).count());
        CHECK(*world.slowest(7) <= ApplyTime);
    }
}

TEST_CASE("what a large configuration takes on a link does not grow with the daemons behind it")
{
    const auto bytes = [](std::size_t far) {
        ConfigurationSimulation world(NearDaemons, far);
        world.publish(3, ManyRoutes);
        world.start();
        const std::uint64_t before = world.bytesToFar();
        world.publish(7, ManyRoutes);
        world.run(10s);
        REQUIRE(world.slowest(7));
        return static_cast<double>(world.bytesToFar() - before);
    };
    CHECK(bytes(80) <= 1.5 * bytes(20));
}

TEST_CASE("all daemons that start at once know a large configuration in time")
{
    ConfigurationSimulation world(NearDaemons, FarDaemons);
    world.publish(3, ManyRoutes);
    world.startAll();
    world.run(10s);
    REQUIRE(world.slowest(3));
    MESSAGE("slowest after " << std::chrono::duration<double>(*world.slowest(3)).count());
    CHECK(*world.slowest(3) <= ApplyTime);
}
