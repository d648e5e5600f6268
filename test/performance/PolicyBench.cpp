// Prints one JSON line for each case of routing and admission under a modelled load, of probes
// against their budget, and of the cost of a pick.
#include "RoutingWorld.h"
#include "decisions/ProbeBudget.h"
#include "decisions/RegionBudget.h"
#include "performance/PolicyModel.h"
#include "performance/RegionModel.h"
#include "performance/RetryModel.h"

#include <array>
#include <cstdio>

namespace {

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

void print(const PolicyCase &policyCase, const PolicyResult &result)
{
    const auto share = [&result](std::uint64_t n) {
        return static_cast<double>(n)
            / static_cast<double>(std::max<std::uint64_t>(1, result.calls));
    };
    std::printf("{\"case\": \"%s\", \"strategy\": \"%s\", \"load\": %.2f, \"limits\": %s, "
                "\"calls\": %llu, \"p50ms\": %.1f, \"p99ms\": %.1f, \"p999ms\": %.1f, "
                "\"good\": %.5f, \"late\": %.5f, \"failed\": %.5f, \"refused\": %.5f, "
                "\"attemptsPerCall\": %.3f, \"runsOnFirst\": %.5f, \"peakOnCold\": %u}\n",
                policyCase.scenario.c_str(), policyCase.strategy.c_str(), policyCase.load,
                policyCase.limits ? "true" : "false", static_cast<unsigned long long>(result.calls),
                result.percentile(0.5), result.percentile(0.99), result.percentile(0.999),
                share(result.good), share(result.late), share(result.failed), share(result.refused),
                share(result.attempts), share(result.runsOnFirst), result.peakOnCold);
    std::fflush(stdout);
}

void benchScenario(const char *scenario)
{
    for (const double load : {0.5, 0.8, 0.95}) {
        for (const char *strategy :
             {"two-choices", "round-robin", "random", "least-reported-load"}) {
            PolicyCase policyCase;
            policyCase.scenario = scenario;
            policyCase.strategy = strategy;
            policyCase.load = load;
            print(policyCase, runPolicyCase(policyCase));
        }
    }
}

void benchOverload()
{
    for (const bool limits : {true, false}) {
        PolicyCase policyCase;
        policyCase.load = 2;
        policyCase.limits = limits;
        print(policyCase, runPolicyCase(policyCase));
    }
}

/// Probes of one server in 100 s at several rates of real answers.
void benchProbes()
{
    constexpr seconds Span {100};
    constexpr unsigned Slots = 9;
    constexpr milliseconds ProbeTime {2};
    for (const double answersPerSecond : {0.0, 1.0, 50.0}) {
        SeededRandom random(1);
        ProbeBudget budget;
        budget.limitsChanged(2.0, Slots);
        const TimePoint end = TimePoint() + Span;
        for (TimePoint now {}; now < end; now += milliseconds(10)) {
            if (random.unit() < answersPerSecond / 100) {
                budget.answered(now);
            }
            if (budget.wanted(now)) {
                budget.probeEnded(now + ProbeTime);
            }
        }
        const double used = std::chrono::duration<double>(budget.counts().slotTime).count();
        std::printf("{\"case\": \"probes\", \"answersPerSecond\": %.0f, \"sent\": %llu, "
                    "\"allowed\": %.0f, \"slotShare\": %.6f, \"allowedSlotShare\": %.2f}\n",
                    answersPerSecond, static_cast<unsigned long long>(budget.counts().sent),
                    2.0 * Span.count(), used / (Slots * static_cast<double>(Span.count())),
                    ProbeBudget::MaxSlotShare);
    }
}

void printRetries(const RetryCase &retryCase)
{
    const RetryResult result = runRetryCase(retryCase);
    const auto ratio = [](std::uint64_t n, std::uint64_t of) {
        return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, of));
    };
    std::printf("{\"case\": \"retries\", \"strategy\": \"%s\", \"outage\": %.1f, \"levels\": %u, "
                "\"refusalsPassedOn\": %s, \"calls\": %llu, \"answered\": %.4f, "
                "\"retriesPerFirstAttempt\": %.4f, \"deepestAttemptsPerCall\": %.4f}\n",
                retryCase.strategy.c_str(), retryCase.outage, retryCase.levels,
                retryCase.passRefusalsOn ? "true" : "false",
                static_cast<unsigned long long>(result.calls), ratio(result.answered, result.calls),
                ratio(result.deepestAttempts - result.deepestCalls, result.deepestCalls),
                ratio(result.deepestAttempts, result.calls));
}

/// Retries in a full outage and in one of a tenth, against retries without a budget.
void benchRetries()
{
    constexpr unsigned NestedLevels = 5;
    for (const double outage : {1.0, 0.1}) {
        for (const char *strategy : {"budget", "always-3"}) {
            RetryCase retryCase;
            retryCase.strategy = strategy;
            retryCase.outage = outage;
            printRetries(retryCase);
            retryCase.levels = NestedLevels;
            printRetries(retryCase);
            retryCase.passRefusalsOn = true;
            printRetries(retryCase);
        }
    }
}

/// Service while half of the servers leave and return cold.
void benchDataCentre()
{
    constexpr std::array<const char *, 3> Names {"before", "out", "back"};
    for (const double load : {0.3, 0.45, 0.6}) {
        PolicyCase policyCase;
        policyCase.scenario = "data-centre";
        policyCase.load = load;
        const PolicyResult result = runPolicyCase(policyCase);
        for (std::size_t i = 0; i < Names.size(); ++i) {
            const PhaseResult &phase = result.phases[i];
            std::printf("{\"case\": \"data-centre\", \"load\": %.2f, \"phase\": \"%s\", "
                        "\"calls\": %llu, \"good\": %llu, \"late\": %llu, \"refused\": %llu}\n",
                        load, Names[i], static_cast<unsigned long long>(phase.calls),
                        static_cast<unsigned long long>(phase.good),
                        static_cast<unsigned long long>(phase.late),
                        static_cast<unsigned long long>(phase.refused));
        }
        std::printf("{\"case\": \"data-centre-return\", \"load\": %.2f, \"runsWhileOut\": %llu, "
                    "\"secondsToLastBad\": %.1f, \"secondsToShare\": %.1f, \"shareAtEnd\": %.3f, "
                    "\"p99ms\": %.1f}\n",
                    load, static_cast<unsigned long long>(result.runsWhileOut),
                    result.secondsToLastBad, result.secondsToShare, result.shareAtEnd,
                    result.percentile(0.99));
    }
}

/// Bytes on the link between regions while the own region is short of capacity.
void benchRegionLink()
{
    for (const unsigned senders : {1U, 4U, 16U}) {
        RegionCase regionCase;
        regionCase.senders = senders;
        const RegionResult result = runRegionCase(regionCase);
        std::printf("{\"case\": \"region-link\", \"senders\": %u, \"shortage\": %.2f, "
                    "\"calls\": %llu, \"sentAway\": %llu, \"refused\": %llu, "
                    "\"bytesPerSecond\": %.0f, \"peakBytesPerSecond\": %.0f, "
                    "\"budgetBytesPerSecond\": %.0f, \"linkBytesPerSecond\": %llu}\n",
                    senders, regionCase.shortage, static_cast<unsigned long long>(result.calls),
                    static_cast<unsigned long long>(result.sentAway),
                    static_cast<unsigned long long>(result.refused), result.bytesPerSecond,
                    result.peakBytesPerSecond,
                    RegionBudget::LinkShare * static_cast<double>(ModelLinkBytesPerSecond),
                    static_cast<unsigned long long>(ModelLinkBytesPerSecond));
    }
}

/// Wall-clock cost of picks among 1,000 members, 34 of which serve the call.
void benchPick()
{
    constexpr unsigned Picks = 200'000;
    constexpr unsigned Rebuilds = 200;
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 12);
    addMembers(members, "a", "a2", "s", 11);
    addMembers(members, "b", "b1", "s", 11);
    addMembers(members, "a", "a1", "other", 966);
    SeededRandom random(1);
    Routing routing({{"a1-x", 1}, "a", "a1"}, random);
    const CallFacts facts = factsFor("s");
    const ConfigurationPtr configuration = configurationFor(members);
    routing.membersChanged(members);
    routing.configurationChanged(configuration);
    const auto timed = [](unsigned n, auto &&step) {
        const auto began = std::chrono::steady_clock::now();
        for (unsigned i = 0; i < n; ++i) {
            step();
        }
        const std::chrono::duration<double, std::micro> took
            = std::chrono::steady_clock::now() - began;
        return took.count() / n;
    };
    TimePoint now {};
    const double pick = timed(Picks, [&] {
        now += milliseconds(7);
        const DaemonId target = std::get<Target>(routing.pick(facts, {}, now)).daemon;
        routing.sent(target, now);
        routing.finished(target, {true, milliseconds(5)}, now);
    });
    const double subset = timed(Rebuilds, [&] {
        routing.configurationChanged(configuration);
        routing.pick(facts, {}, now);
    });
    const double change = timed(Rebuilds, [&] {
        routing.membersChanged(members);
        routing.pick(facts, {}, now);
    });
    std::printf("{\"case\": \"pick\", \"pickUs\": %.2f, \"subsetRebuildUs\": %.1f, "
                "\"membersChangedUs\": %.1f}\n",
                pick, subset, change);
}

} // namespace

/// \param argv optionally the only scenario to run.
int main(int argc, char **argv)
{
    if (argc > 1) {
        benchScenario(argv[1]);
        return 0;
    }
    benchPick();
    benchProbes();
    benchOverload();
    benchRetries();
    benchDataCentre();
    benchRegionLink();
    for (const char *scenario : {"even", "straggler", "fail-fast", "stale-reports", "cold-turn"}) {
        benchScenario(scenario);
    }
    return 0;
}
