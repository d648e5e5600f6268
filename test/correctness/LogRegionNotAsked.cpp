// Guards against daemons outside the log's region that refuse work during an outage of the log,
// because none of their pings went to that region within the freshness time.
#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Daemons = 48;
constexpr auto FreshnessTime = 2500ms;

std::pair<std::string, std::string> threeRegions(std::size_t index)
{
    const std::string region = "region-" + std::to_string(index % 3);
    return {region, region + "-a"};
}

/// \return the longest time between two questions to the log's region that were answered.
Duration longestGap(const Process &process, TimePoint from, TimePoint until)
{
    Duration longest {};
    TimePoint last = from;
    for (const PeerAnswered &answer : process.answers) {
        if (answer.region == "region-0" && answer.asked > last) {
            longest = std::max(longest, answer.asked - last);
            last = answer.asked;
        }
    }
    return std::max(longest, until - last);
}

} // namespace

TEST_CASE("while evidence is old every daemon asks the log's region within the freshness time")
{
    MembershipSimulation simulation(printedSeed("witness", 14));
    simulation.startMany(Daemons, threeRegions);
    REQUIRE(joinAll(simulation, Daemons));
    for (Process &process : simulation.processes()) {
        process.membership->setLogRegion("region-0");
    }
    simulation.run(5s);
    // The simulation keeps 100 answers of each process, more than arrive in a step.
    for (unsigned step = 0; step < 20; ++step) {
        for (Process &process : simulation.processes()) {
            process.answers.clear();
        }
        const TimePoint start = simulation.now();
        simulation.run(6s);
        for (const Process &process : simulation.processes()) {
            REQUIRE(process.answers.size() < 100);
            CHECK(longestGap(process, start, simulation.now()) < FreshnessTime);
        }
    }
}
