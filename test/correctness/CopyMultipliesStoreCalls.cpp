// Guards against a crowd of calls to the store after it has come back from an older copy: the
// users limit the calls of all daemons together.
#include "ConfigurationSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// The users' limits on the calls of all daemons together.
constexpr std::size_t ReadsPerSecond = 2'000;
constexpr std::size_t DataCentres = 4;
constexpr Duration AfterReturn = 5s;

/// Lets the store come back and checks the calls after that.
void checkCalls(std::size_t daemons, bool namesEpoch, Duration away)
{
    ConfigurationSimulation simulation(daemons / 2, daemons - daemons / 2);
    if (!namesEpoch) {
        simulation.store.epoch = std::nullopt;
    }
    simulation.publish(3, FewRoutes);
    simulation.start();
    simulation.store.takeCopy();
    simulation.publish(5, FewRoutes);
    simulation.setOutOfService("far-a", true);
    simulation.run(3s);
    const TimePoint before = simulation.executor.now();
    simulation.run(AfterReturn);
    const TimePoint usual = simulation.executor.now();
    const auto lost = simulation.restoreCopy(away, StoreMode::Rejecting);
    const TimePoint back = simulation.executor.now();
    simulation.run(1s);
    simulation.rewrite(lost);
    simulation.run(AfterReturn - 1s);
    const TimePoint end = back + AfterReturn;
    using Kind = StoreCallRecord::Kind;
    const SimulatedStore &store = simulation.store;
    MESSAGE("calls in 5 s before: "
            << store.callsBetween(before, usual)
            << "; after the return: " << store.callsBetween(back, end, Kind::Newest)
            << " of newest records, " << store.callsBetween(back, end, Kind::Read)
            << " from a position, " << store.callsBetween(back, end, Kind::Rejected)
            << " rejected, " << store.bytesBetween(back, end)
            << " bytes, most in a second: " << store.maxCallsPerSecond(back, end));
    CHECK(store.maxCallsPerSecond(usual, end) <= ReadsPerSecond);
    // Only reader candidates read a store that rejects all, each after 100 ms at least.
    CHECK(store.maxCallsPerSecond(back, end)
          <= MaxReaderCandidatesPerDataCentre * DataCentres * 10);
    CHECK(simulation.neverRolledBack());
    CHECK(simulation.allHaveOutOfService({"far-a"}));
}

} // namespace

TEST_CASE("the calls after the return of the store stay within the limit and do not grow with the "
          "daemons")
{
    for (const bool namesEpoch : {true, false}) {
        for (const std::size_t daemons : {14, 100}) {
            for (const Duration away : {Duration(0s), Duration(1s)}) {
                CAPTURE(namesEpoch);
                CAPTURE(daemons);
                CAPTURE(std::chrono::duration<double>(away).count());
                checkCalls(daemons, namesEpoch, away);
            }
        }
    }
}

TEST_CASE("the calls of a thousand daemons after the return of the store stay within the limit")
{
    checkCalls(1'000, true, 1s);
}
