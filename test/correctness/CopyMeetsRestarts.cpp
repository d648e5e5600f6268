// Guards against daemons that start while the store holds an older copy: they read outdated records
// and must not keep them, nor spread them.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// Which daemons are restarted while the store holds the copy.
enum class Restarted { One, Readers, DataCentre, AllButOne };

constexpr std::size_t Daemons = 14;

std::vector<std::size_t> concerned(const ConfigurationSimulation &simulation, Restarted restarted)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < Daemons; ++i) {
        const bool isConcerned = restarted == Restarted::One ? i == 3
            : restarted == Restarted::Readers
            ? ConfigurationSimulation::isReader(simulation.daemon(i))
            : restarted == Restarted::DataCentre ? simulation.daemon(i).host().dataCentre == "far-a"
                                                 : i != 5;
        if (isConcerned) {
            indices.push_back(i);
        }
    }
    return indices;
}

/// Restarts daemons between the return of the store and the rewriting of the lost records.
void restartAfterReturn(ConfigurationSimulation &simulation, Restarted restarted, Duration away)
{
    simulation.publish(3, FewRoutes);
    simulation.setOutOfService("near-b", true);
    simulation.start();
    simulation.store.takeCopy();
    simulation.publish(7, FewRoutes);
    simulation.setOutOfService("far-a", true);
    simulation.setOutOfService("near-b", false);
    simulation.run(2s);
    REQUIRE(simulation.allHaveOutOfService({"far-a"}));

    const auto indices = concerned(simulation, restarted);
    for (const std::size_t index : indices) {
        simulation.kill(index);
    }
    const auto lost = simulation.restoreCopy(away, StoreMode::Rejecting);
    for (const std::size_t index : indices) {
        simulation.restart(index);
    }
    simulation.run(4s);
    CAPTURE(simulation.describeLacking(7));
    for (std::size_t i = 0; i < Daemons; ++i) {
        // What other daemons hold comes before the older store.
        CAPTURE(i);
        CHECK(simulation.daemon(i).version() == 7);
        CHECK(simulation.daemon(i).outOfService() == std::set<std::string> {"far-a"});
    }
    simulation.rewrite(lost);
    simulation.run(5s);
    CHECK(simulation.allHaveOutOfService({"far-a"}));
    simulation.setOutOfService("far-a", false);
    simulation.publish(9, FewRoutes);
    simulation.run(5s);
    CHECK(simulation.allHaveOutOfService({}));
    CHECK(simulation.isPropagatedInTime(9, ApplyLimit));
    CHECK(simulation.neverRolledBack());
}

} // namespace

TEST_CASE("daemons that start while the store holds an older copy hold what their peers hold")
{
    for (const Restarted restarted :
         {Restarted::One, Restarted::Readers, Restarted::DataCentre, Restarted::AllButOne}) {
        for (const Duration away : {Duration(0s), Duration(1s)}) {
            CAPTURE(static_cast<int>(restarted));
            CAPTURE(std::chrono::duration<double>(away).count());
            ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
            restartAfterReturn(simulation, restarted, away);
        }
    }
}

TEST_CASE("all daemons that start while the store holds an older copy apply what is written again")
{
    ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.store.takeCopy();
    simulation.publish(7, FewRoutes);
    simulation.setOutOfService("far-a", true);
    simulation.run(2s);
    for (std::size_t i = 0; i < Daemons; ++i) {
        simulation.kill(i);
    }
    const auto lost = simulation.restoreCopy(500ms, StoreMode::Rejecting);
    for (std::size_t i = 0; i < Daemons; ++i) {
        simulation.restart(i);
    }
    simulation.run(4s);
    simulation.rewrite(lost);
    simulation.publish(9, FewRoutes);
    simulation.run(5s);
    CHECK(simulation.isPropagatedInTime(9, ApplyLimit));
    CHECK(simulation.allHaveOutOfService({"far-a"}));
}

TEST_CASE("a daemon that is frozen over the return applies later versions in time")
{
    for (const bool areReaders : {true, false}) {
        CAPTURE(areReaders);
        ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
        simulation.publish(3, FewRoutes);
        simulation.start();
        simulation.store.takeCopy();
        simulation.publish(7, FewRoutes);
        simulation.run(2s);
        std::vector<std::size_t> frozen;
        for (std::size_t i = 0; i < Daemons; ++i) {
            if (ConfigurationSimulation::isReader(simulation.daemon(i)) == areReaders) {
                frozen.push_back(i);
            }
        }
        for (const std::size_t index : frozen) {
            simulation.daemon(index).executor().freeze();
        }
        simulation.restoreCopy(500ms, StoreMode::Rejecting);
        simulation.run(1s);
        simulation.publish(8, FewRoutes);
        simulation.run(1s);
        for (const std::size_t index : frozen) {
            simulation.daemon(index).executor().resume();
        }
        simulation.run(4s);
        CAPTURE(simulation.describeLacking(8));
        CHECK(simulation.maxPropagationTime(8));
        simulation.publish(9, FewRoutes);
        simulation.run(5s);
        CHECK(simulation.isPropagatedInTime(9, ApplyLimit));
        CHECK(simulation.neverRolledBack());
    }
}

TEST_CASE("the copy does not revert a data centre at daemons that were restarted in turn before")
{
    // A restarted daemon has read the newest records only: it has not seen the records that the
    // copy brings back.
    for (const bool isOut : {true, false}) {
        for (const bool areRestarted : {true, false}) {
            for (const Duration away : {Duration(0s), Duration(1s)}) {
                CAPTURE(isOut);
                CAPTURE(areRestarted);
                CAPTURE(std::chrono::duration<double>(away).count());
                ConfigurationSimulation simulation(Daemons / 2, Daemons / 2);
                simulation.publish(3, FewRoutes);
                simulation.start();
                simulation.setOutOfService("far-a", isOut);
                simulation.run(1s);
                simulation.setOutOfService("far-a", !isOut);
                simulation.run(1s);
                simulation.store.takeCopy();
                simulation.publish(5, FewRoutes);
                simulation.setOutOfService("far-a", isOut);
                simulation.run(2s);
                for (std::size_t i = 0; areRestarted && i < Daemons; ++i) {
                    simulation.kill(i);
                    simulation.run(300ms);
                    simulation.restart(i);
                    simulation.run(2s);
                }
                const std::set<std::string> wanted
                    = isOut ? std::set<std::string> {"far-a"} : std::set<std::string> {};
                REQUIRE(simulation.allHaveOutOfService(wanted));
                const auto lost = simulation.restoreCopy(away, StoreMode::Rejecting);
                simulation.run(3s);
                CHECK(simulation.allHaveOutOfService(wanted));
                simulation.rewrite(lost);
                simulation.run(5s);
                CHECK(simulation.allHaveOutOfService(wanted));
            }
        }
    }
}
