// Guards against daemons that stay at an old version because they, or the store readers of their
// data centre, are disconnected while the store comes back from an older copy.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Daemons = 14;

void checkInTime(ConfigurationSimulation &simulation, ConfigurationVersion version)
{
    CAPTURE(version);
    CAPTURE(simulation.describeLacking(version));
    const auto time = simulation.maxPropagationTime(version);
    CHECK(time);
    if (time) {
        MESSAGE("maximum propagation time in s: " << std::chrono::duration<double>(*time).count());
        CHECK(*time <= ApplyLimit);
    }
    CHECK(simulation.neverRolledBack());
}

void startWithCopy(ConfigurationSimulation &simulation)
{
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.store.takeCopy();
    for (const ConfigurationVersion version : {5, 6, 7}) {
        simulation.publish(version, FewRoutes);
        simulation.run(1s);
    }
}

} // namespace

TEST_CASE(
    "versions become active in time while the readers of a data centre cannot reach the store "
    "that has come back")
{
    for (const std::string_view dataCentre : {"near-a", "far-b"}) {
        for (const bool isHealed : {true, false}) {
            CAPTURE(dataCentre);
            CAPTURE(isHealed);
            ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
            startWithCopy(simulation);
            const auto readers = simulation.readers(dataCentre);
            for (const std::size_t index : readers) {
                ConfigurationSimulation::setCutFromStore(simulation.daemon(index), true);
            }
            simulation.restoreCopy(500ms, StoreMode::Silent);
            simulation.publish(8, FewRoutes);
            simulation.run(5s);
            checkInTime(simulation, 8);
            if (isHealed) {
                for (const std::size_t index : readers) {
                    simulation.daemon(index).host().isCutFromStore = false;
                }
            }
            simulation.publish(9, FewRoutes);
            simulation.run(5s);
            checkInTime(simulation, 9);
        }
    }
}

TEST_CASE("readers that are cut off at the moment of a change delay it for nobody in touch")
{
    // Hypothesis of issue 41: all readers of a data centre are cut off silently.
    for (const std::string_view dataCentre : {"near-a", "near-b", "far-a", "far-b"}) {
        for (const Duration phase : {0ms, 400ms, 800ms, 1200ms, 1600ms, 2000ms}) {
            CAPTURE(dataCentre);
            CAPTURE(std::chrono::duration<double>(phase).count());
            ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
            simulation.publish(3, FewRoutes);
            simulation.start();
            simulation.run(phase);
            for (const std::size_t index : simulation.readers(dataCentre)) {
                ConfigurationSimulation::setCutFromStore(simulation.daemon(index), true);
            }
            simulation.publish(5, FewRoutes);
            simulation.run(5s);
            checkInTime(simulation, 5);
        }
    }
}

TEST_CASE("a data centre whose daemons see only each other catches up")
{
    ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
    startWithCopy(simulation);
    for (std::size_t i = 0; i < Daemons; ++i) {
        if (simulation.daemon(i).host().dataCentre == "far-a") {
            simulation.daemon(i).host().isCutFromPeers = true;
            ConfigurationSimulation::setCutFromStore(simulation.daemon(i), true);
        }
    }
    simulation.restoreCopy(500ms, StoreMode::Rejecting);
    simulation.publish(8, FewRoutes);
    simulation.run(4s);
    for (std::size_t i = 0; i < Daemons; ++i) {
        simulation.daemon(i).host().isCutFromPeers = false;
        simulation.daemon(i).host().isCutFromStore = false;
    }
    simulation.run(4s);
    CAPTURE(simulation.describeLacking(8));
    CHECK(simulation.maxPropagationTime(8));
    simulation.publish(9, FewRoutes);
    simulation.run(5s);
    checkInTime(simulation, 9);
}

TEST_CASE("daemons of different epochs exchange versions")
{
    // Half of the daemons read the returned store, the others do not reach it.
    ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
    startWithCopy(simulation);
    for (std::size_t i = 0; i < Daemons; i += 2) {
        ConfigurationSimulation::setCutFromStore(simulation.daemon(i), true);
    }
    simulation.restoreCopy(500ms, StoreMode::Rejecting);
    simulation.run(2s);
    simulation.publish(8, FewRoutes);
    simulation.run(5s);
    checkInTime(simulation, 8);
    simulation.setOutOfService("near-a", true);
    simulation.run(5s);
    CHECK(simulation.allHaveOutOfService({"near-a"}));
}
