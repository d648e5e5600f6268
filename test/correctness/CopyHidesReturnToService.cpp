// Guards against a data centre that stays out of service since operators have returned it shortly
// after the store has come back from an older copy, before any daemon has read the store again. The
// newest records do not list a record that was removed.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a data centre returns to service when its record is removed after a return of the store")
{
    // The copy contains the record that took the data centre out of service, or lacks it.
    for (const bool isInCopy : {true, false}) {
        for (const Duration delay : {Duration(0ms), Duration(300ms), Duration(1500ms)}) {
            for (const Duration away : {Duration(0s), Duration(1s)}) {
                CAPTURE(isInCopy);
                CAPTURE(std::chrono::duration<double>(delay).count());
                CAPTURE(std::chrono::duration<double>(away).count());
                ConfigurationSimulation simulation(7, 7);
                simulation.publish(3, FewRoutes);
                simulation.start();
                if (!isInCopy) {
                    simulation.store.takeCopy();
                }
                simulation.setOutOfService("far-a", true);
                simulation.run(2s);
                if (isInCopy) {
                    simulation.store.takeCopy();
                }
                simulation.publish(5, FewRoutes);
                simulation.run(2s);
                REQUIRE(simulation.allHaveOutOfService({"far-a"}));
                simulation.restoreCopy(away, StoreMode::Rejecting);
                simulation.run(delay);
                simulation.setOutOfService("far-a", false);
                simulation.run(5s);
                CHECK(simulation.allHaveOutOfService({}));
            }
        }
    }
}
