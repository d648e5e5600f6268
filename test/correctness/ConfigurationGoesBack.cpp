// Guards against a daemon that goes back to an older configuration, or forgets which data centres
// are out of service.
#include "decisions/ControlState.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

ConfigurationPtr version(ConfigurationVersion number)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = number;
    return configuration;
}

} // namespace

TEST_CASE("an older or equal version is never taken over, whatever its offset")
{
    ControlState state({});
    CHECK(state.published(version(7)));
    CHECK_FALSE(state.published(version(5)));
    CHECK_FALSE(state.published(version(7)));
    CHECK(state.version() == 7);
    CHECK(state.published(version(12)));
}

TEST_CASE("a data centre stays out over new versions until it is brought back")
{
    ControlState state({{"klang-a", "klang"}, {"klang-b", "klang"}});
    CHECK(state.tookOut("klang-a", true));
    CHECK_FALSE(state.tookOut("klang-a", true));
    state.published(version(1));
    CHECK_FALSE(state.inForce()->inService("klang-a"));
    CHECK(state.inForce()->inService("klang-b"));
    state.published(version(2));
    CHECK_FALSE(state.inForce()->inService("klang-a"));
    CHECK(state.tookOut("klang-a", false));
    CHECK(state.inForce()->inService("klang-a"));
}

TEST_CASE("the position only moves forward, and nothing is in force before a configuration")
{
    ControlState state({});
    CHECK_FALSE(state.inForce());
    state.reached(9);
    state.reached(4);
    CHECK(state.position() == 9);
}
