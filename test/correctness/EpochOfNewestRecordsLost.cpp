// Guards against the epoch of the newest records getting lost, after which each long poll is
// followed by another read of the newest records.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a daemon that holds the state long-polls a store that names its epoch")
{
    ConfigurationSimulation simulation(7, 7);
    simulation.publish(3, FewRoutes);
    simulation.start();
    const TimePoint from = simulation.executor.now();
    simulation.run(10s);
    const TimePoint to = simulation.executor.now();
    CHECK(simulation.store.callsBetween(from, to, StoreCallRecord::Kind::Newest) == 0);
    CHECK(simulation.store.callsBetween(from, to, StoreCallRecord::Kind::Read) > 0);
}
