// Guards against retries that multiply the load of an outage, over all daemons together: repeats
// saved up over two windows, and calls of repeated runs that counted as first ones.
#include "decisions/RepeatedRuns.h"
#include "decisions/RetryBudget.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <vector>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr RetryLimits Limits {0.2, 62, milliseconds(10'000)};

struct Load
{
    unsigned daemons;
    double callsPerSecond;
    /// Seconds without repeats before each burst of them; 0 repeats whenever it is allowed.
    unsigned quietSeconds;
};

/// \return most repeats beyond the ratio in any window.
double worstExcess(const Load &load)
{
    SeededRandom random(3);
    std::vector<RetryBudget> budgets(load.daemons, RetryBudget(random, Limits));
    for (RetryBudget &budget : budgets) {
        budget.daemonCountChanged(load.daemons);
    }
    struct Event
    {
        TimePoint at;
        bool repeat;
    };
    std::deque<Event> window;
    double firsts = 0;
    double repeats = 0;
    double worst = -1e9;
    TimePoint now {};
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / load.callsPerSecond));
    for (unsigned i = 0; i < 60 * load.callsPerSecond; ++i) {
        now += gap;
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now - TimePoint());
        RetryBudget &budget = budgets[i % load.daemons];
        budget.recordFirstAttempt("s", now);
        window.push_back({now, false});
        ++firsts;
        const bool fails = load.quietSeconds == 0
            || second.count() % (load.quietSeconds + 3) >= load.quietSeconds;
        while (fails && budget.tryAcquire("s", now)) {
            window.push_back({now, true});
            ++repeats;
        }
        while (now - window.front().at > Limits.window) {
            (window.front().repeat ? repeats : firsts) -= 1;
            window.pop_front();
        }
        worst = std::max(worst, repeats - Limits.ratio * firsts);
    }
    return worst;
}

} // namespace

TEST_CASE("repeats of all daemons stay within ratio and slack in every window")
{
    for (const unsigned daemons : {1U, 14U, 90U, 300U}) {
        for (const double callsPerSecond : {5.0, 200.0, 2000.0}) {
            for (const unsigned quietSeconds : {0U, 5U, 25U}) {
                CHECK_MESSAGE(worstExcess({daemons, callsPerSecond, quietSeconds}) <= Limits.slack,
                              daemons << " daemons, " << callsPerSecond << " calls/s, quiet "
                                      << quietSeconds << " s");
            }
        }
    }
}

TEST_CASE("a quiet service repeats its daemon's share of the slack in each window and no more")
{
    SeededRandom random(1);
    RetryBudget budget(random, Limits);
    constexpr unsigned Daemons = 14;
    budget.daemonCountChanged(Daemons);
    constexpr int Windows = 1000;
    const double share = Limits.slack * RetryBudget::SlackUsed / Daemons;
    TimePoint now {};
    int repeats = 0;
    for (int i = 0; i < Windows; ++i) {
        now += 2 * Limits.window;
        int inWindow = 0;
        while (budget.tryAcquire("s", now)) {
            ++inWindow;
        }
        CHECK(inWindow >= 1);
        CHECK(inWindow <= std::ceil(share));
        repeats += inWindow;
    }
    // One repeat of each window is left to chance; its standard deviation is at most a half.
    CHECK(repeats <= Windows * share + 4 * 0.5 * std::sqrt(Windows));
}

TEST_CASE("what was not repeated in one window is not spent in the next one besides")
{
    constexpr int Seeds = 100;
    int repeats = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        SeededRandom random(seed);
        RetryBudget budget(random, {0.2, 0, milliseconds(10'000)});
        TimePoint now {};
        for (int i = 0; i < 4000; ++i) {
            now += milliseconds(5);
            budget.recordFirstAttempt("s", now);
        }
        // 2,000 first attempts lie in the window, the last of 4,000.
        for (int i = 0; i < 2000; ++i) {
            now += milliseconds(5);
            budget.recordFirstAttempt("s", now);
            repeats += budget.tryAcquire("s", now) ? 1 : 0;
        }
    }
    // The slot in progress is a twentieth of the window.
    CHECK(repeats <= Seeds * (2000 * 0.2 * RetryBudget::RatioUsed * 1.05 + 1));
}

TEST_CASE("calls that repeated runs make use up the budget")
{
    SeededRandom random(1);
    RetryBudget budget(random, {0.2, 0, milliseconds(10'000)});
    TimePoint now {};
    for (int i = 0; i < 100; ++i) {
        budget.recordFirstAttempt("s", now);
    }
    for (int i = 0; i < 20; ++i) {
        budget.recordCallOfRepeatedRun("s", now);
    }
    CHECK_FALSE(budget.tryAcquire("s", now));
}

TEST_CASE("a run that was repeated twice is known until the later repeat expires")
{
    RepeatedRuns runs;
    TimePoint now {};
    runs.add("order-with-a-long-identifier", now);
    runs.add("order-with-a-long-identifier", now + milliseconds(3000));
    CHECK(runs.contains("order-with-a-long-identifier", now + milliseconds(6000)));
    CHECK_FALSE(runs.contains("order-with-a-long-identifier", now + milliseconds(9000)));
    CHECK_FALSE(runs.contains("", now));
}
