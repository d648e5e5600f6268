// Guards against an attempt that runs although the links between daemons have reported it as
// refused: an order is answered "not run" and has run, or runs at two servers.
#include "support/LinkSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// Number of seeds in CI.
constexpr std::uint64_t DefaultSeeds = 192;
/// Number of simulations that run at the same time.
constexpr std::uint64_t BatchSize = 64;
/// Real time in which a batch must end: several times what it needs on a busy host.
constexpr auto BatchTimeout = 30s;

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

struct Findings
{
    unsigned attempts = 0;
    unsigned started = 0;
    unsigned refused = 0;
    unsigned cuts = 0;
    unsigned restarts = 0;
};

void check(const LinkSimulation &simulation, std::uint64_t seed, Findings &findings)
{
    findings.cuts += simulation.cuts();
    findings.restarts += simulation.restarts();
    CHECK_MESSAGE(simulation.finished(), "seed " << seed);
    CHECK_MESSAGE(simulation.spoiltBodies() == 0, "seed " << seed);
    for (const auto &[id, attempt] : simulation.attempts()) {
        // A structured binding cannot be captured by the closures of doctest.
        const std::uint64_t number = id.low;
        ++findings.attempts;
        findings.started += attempt.starts > 0 ? 1 : 0;
        findings.refused += attempt.refused ? 1 : 0;
        CHECK_MESSAGE(attempt.results == 1, "seed " << seed << " attempt " << number);
        CHECK_MESSAGE(attempt.starts <= 1, "seed " << seed << " attempt " << number);
        CHECK_MESSAGE(!(attempt.refused && attempt.starts > 0),
                      "seed " << seed << " attempt " << number);
    }
}

void runBatch(std::uint64_t firstSeed, Findings &findings)
{
    boost::asio::io_context context;
    std::vector<std::unique_ptr<LinkSimulation>> simulations;
    for (std::uint64_t i = 0; i < BatchSize; ++i) {
        simulations.push_back(std::make_unique<LinkSimulation>(context, firstSeed + i));
    }
    const auto end = std::chrono::steady_clock::now() + BatchTimeout;
    while (!std::ranges::all_of(
               simulations, &LinkSimulation::finished,
               [](const auto &simulation) -> const LinkSimulation & { return *simulation; })
           && std::chrono::steady_clock::now() < end) {
        context.run_for(10ms);
    }
    for (std::uint64_t i = 0; i < BatchSize; ++i) {
        check(*simulations[i], firstSeed + i, findings);
    }
}

} // namespace

TEST_CASE("no attempt that ran is reported as refused over broken links and restarts")
{
    const std::uint64_t first = numberFromEnvironment("COLTSFOOTWELL_SEED", 1);
    const std::uint64_t seeds = numberFromEnvironment("COLTSFOOTWELL_SEEDS", DefaultSeeds);
    Findings findings;
    for (std::uint64_t seed = first; seed < first + seeds; seed += BatchSize) {
        runBatch(seed, findings);
    }
    MESSAGE(findings.attempts << " attempts, " << findings.started << " started, "
                              << findings.refused << " refused, " << findings.cuts << " cuts, "
                              << findings.restarts << " restarts");
    // Without faults the checks above would show nothing.
    CHECK(findings.started > 0);
    CHECK(findings.refused > 0);
    CHECK(findings.cuts > 0);
    CHECK(findings.restarts > 0);
}
