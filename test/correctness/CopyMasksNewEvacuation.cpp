// Guards against a data centre that stays in service though operators have taken it out again since
// the return of the store, because the record has the offset and content of one that was lost. The
// daemons have read the returned store before, so that the record cannot be one of the copy.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// The store loses that a data centre was taken out of service and returned.
/// \return the simulation after the return.
std::unique_ptr<ConfigurationSimulation> loseBoth(Duration away)
{
    auto simulation = std::make_unique<ConfigurationSimulation>(7, 7);
    simulation->publish(3, FewRoutes);
    simulation->start();
    simulation->store.takeCopy();
    simulation->setOutOfService("far-a", true);
    simulation->run(1s);
    simulation->setOutOfService("far-a", false);
    simulation->run(2s);
    simulation->restoreCopy(away, StoreMode::Rejecting);
    return simulation;
}

} // namespace

TEST_CASE("a data centre that is taken out again at a lost offset leaves service")
{
    for (const Duration away : {Duration(0s), Duration(1s)}) {
        for (const Duration delay : {Duration(3s), Duration(4s)}) {
            CAPTURE(std::chrono::duration<double>(away).count());
            CAPTURE(std::chrono::duration<double>(delay).count());
            const auto simulation = loseBoth(away);
            simulation->run(delay);
            simulation->setOutOfService("far-a", true);
            simulation->run(5s);
            CHECK(simulation->allHaveOutOfService({"far-a"}));
        }
    }
}

TEST_CASE("a data centre that is returned at a lost offset enters service")
{
    // The records are lost in the other order: returned, then taken out.
    for (const Duration away : {Duration(0s), Duration(1s)}) {
        for (const Duration delay : {Duration(3s), Duration(4s)}) {
            CAPTURE(std::chrono::duration<double>(away).count());
            CAPTURE(std::chrono::duration<double>(delay).count());
            ConfigurationSimulation simulation(7, 7);
            simulation.publish(3, FewRoutes);
            simulation.setOutOfService("far-a", true);
            simulation.start();
            simulation.store.takeCopy();
            simulation.setOutOfService("far-a", false);
            simulation.run(1s);
            simulation.setOutOfService("far-a", true);
            simulation.run(2s);
            simulation.restoreCopy(away, StoreMode::Rejecting);
            simulation.run(delay);
            simulation.setOutOfService("far-a", false);
            simulation.run(5s);
            CHECK(simulation.allHaveOutOfService({}));
        }
    }
}
