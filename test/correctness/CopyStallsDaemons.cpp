// Guards against daemons that hold different versions for seconds since the store has come back
// from an older copy, because a position of the copy's past hides records or is taken for a later
// one.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NearDaemons = 7;
constexpr std::size_t FarDaemons = 7;

/// 14 daemons in four data centres that hold version 8 when the store has a copy up to version 5.
struct CopyFixture
{
    CopyFixture()
    {
        simulation.publish(3, FewRoutes);
        simulation.start();
        simulation.publish(5, FewRoutes);
        simulation.run(2s);
        simulation.store.takeCopy();
        for (const ConfigurationVersion version : {6, 7, 8}) {
            simulation.publish(version, FewRoutes);
            simulation.run(1s);
        }
    }

    void checkInTime(ConfigurationVersion version)
    {
        simulation.run(5s);
        CAPTURE(version);
        CAPTURE(simulation.describeLacking(version));
        const auto time = simulation.maxPropagationTime(version);
        CHECK(time);
        if (time) {
            MESSAGE(
                "maximum propagation time in s: " << std::chrono::duration<double>(*time).count());
            CHECK(*time <= ApplyLimit);
        }
        CHECK(simulation.neverRolledBack());
    }

    ConfigurationSimulation simulation {NearDaemons, FarDaemons};
};

} // namespace

TEST_CASE("versions become active in time after the store has come back from a copy")
{
    for (const StoreMode mode : {StoreMode::Silent, StoreMode::Rejecting}) {
        for (const Duration away : {Duration(0s), Duration(500ms), Duration(2s)}) {
            for (const bool isRewritten : {true, false}) {
                CAPTURE(mode);
                CAPTURE(std::chrono::duration<double>(away).count());
                CAPTURE(isRewritten);
                CopyFixture fixture;
                const auto lost = fixture.simulation.restoreCopy(away, mode);
                fixture.simulation.run(4s);
                if (isRewritten) {
                    fixture.simulation.rewrite(lost);
                }
                // Takes an offset that the daemons have read past before the return.
                fixture.simulation.publish(9, FewRoutes);
                fixture.checkInTime(9);
                fixture.simulation.publish(12, FewRoutes);
                fixture.checkInTime(12);
            }
        }
    }
}

TEST_CASE("a record at the position of the earlier epoch is not hidden")
{
    // The new content has exactly as many records as the lost one, so that the end is the same.
    CopyFixture fixture;
    fixture.simulation.setStoreMode(StoreMode::Rejecting);
    fixture.simulation.run(300ms);
    fixture.simulation.store.restoreCopy();
    for (const ConfigurationVersion version : {10, 11, 12}) {
        fixture.simulation.publish(version, FewRoutes);
    }
    fixture.simulation.setStoreMode(StoreMode::Serving);
    fixture.checkInTime(12);
    fixture.simulation.publish(14, FewRoutes);
    fixture.checkInTime(14);
}

TEST_CASE("versions become active in time when the store comes back twice within a long poll")
{
    for (const StoreMode mode : {StoreMode::Silent, StoreMode::Rejecting}) {
        CAPTURE(mode);
        CopyFixture fixture;
        fixture.simulation.restoreCopy(300ms, mode);
        fixture.simulation.run(200ms);
        const auto lost = fixture.simulation.restoreCopy(300ms, mode);
        CHECK(lost.empty());
        fixture.simulation.run(4s);
        fixture.simulation.publish(9, FewRoutes);
        fixture.checkInTime(9);
    }
}

TEST_CASE("a version that only the store had is lost, and the next one becomes active in time")
{
    CopyFixture fixture;
    fixture.simulation.setStoreMode(StoreMode::Silent);
    fixture.simulation.publish(9, FewRoutes);
    fixture.simulation.restoreCopy(1s, StoreMode::Silent);
    fixture.simulation.run(4s);
    fixture.simulation.publish(10, FewRoutes);
    fixture.checkInTime(10);
}

TEST_CASE("a store that names no epoch but whose offsets go back does not hide versions")
{
    for (const bool isRewritten : {true, false}) {
        CAPTURE(isRewritten);
        ConfigurationSimulation simulation(NearDaemons, FarDaemons);
        simulation.store.epoch = std::nullopt;
        simulation.publish(3, FewRoutes);
        simulation.start();
        simulation.store.takeCopy();
        for (ConfigurationVersion version = 4; version < 10; ++version) {
            simulation.publish(version, FewRoutes);
            simulation.run(500ms);
        }
        const auto lost = simulation.restoreCopy(500ms, StoreMode::Rejecting);
        simulation.run(4s);
        if (isRewritten) {
            simulation.rewrite(lost);
        }
        simulation.publish(12, FewRoutes);
        simulation.run(10s);
        CAPTURE(simulation.describeLacking(12));
        const auto time = simulation.maxPropagationTime(12);
        CHECK(time);
        if (time) {
            MESSAGE(
                "maximum propagation time in s: " << std::chrono::duration<double>(*time).count());
            CHECK(*time <= ApplyLimit);
        }
        CHECK(simulation.neverRolledBack());
    }
}
