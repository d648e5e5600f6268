// Guards against a large configuration that comes into force late in a region, because all its
// daemons fetch it over the same link (docs/incidents/2026-12-04-configuration-behind-link.md).
#include "ConfigurationWorld.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 41;
constexpr std::size_t FarDaemons = 49;
/// Half of 60 Mbit/s; calls take the rest.
constexpr double LinkBytesPerSecond = 3.75e6;
constexpr std::size_t FewRoutes = 10;
constexpr std::size_t ManyRoutes = 1'600;
/// A confirmed change is in force everywhere within this time.
constexpr Duration ApplyTime = 3s;

} // namespace

TEST_CASE("a large configuration is in force in time behind a narrow link")
{
    ConfigurationWorld world(NearDaemons, FarDaemons, LinkBytesPerSecond);
    world.publish(3, FewRoutes);
    world.start();
    REQUIRE(world.slowest(3));
    world.publish(7, ManyRoutes);
    world.run(10s);
    REQUIRE(world.slowest(7));
    CHECK(*world.slowest(7) <= ApplyTime);
    CHECK(world.neverBack());
}

TEST_CASE("each of many changes in a row is in force in time behind a narrow link")
{
    ConfigurationWorld world(NearDaemons, FarDaemons, LinkBytesPerSecond);
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
        REQUIRE(world.slowest(version));
        CHECK(*world.slowest(version) <= ApplyTime);
    }
    CHECK(world.neverBack());
}
