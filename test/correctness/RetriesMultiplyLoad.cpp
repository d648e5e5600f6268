// Guards against retries by all daemons together that multiply the load of an outage: repeats were
// accumulated over two windows, and calls made by repeated runs counted as first attempts.
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

struct LoadPattern
{
    unsigned daemons;
    double callsPerSecond;
    /// Seconds without repeats before each burst of repeats; 0 repeats whenever it is allowed.
    unsigned idleSeconds;
};

/// \return maximum number of repeats above the ratio in any window.
double maxExcess(const LoadPattern &load)
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
    double firstAttempts = 0;
    double repeats = 0;
    double excess = -1e9;
    TimePoint now {};
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / load.callsPerSecond));
    for (unsigned i = 0; i < 60 * load.callsPerSecond; ++i) {
        now += gap;
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now - TimePoint());
        RetryBudget &budget = budgets[i % load.daemons];
        budget.recordFirstAttempt("s", now);
        window.push_back({now, false});
        ++firstAttempts;
        const bool fails
            = load.idleSeconds == 0 || second.count() % (load.idleSeconds + 3) >= load.idleSeconds;
        while (fails && budget.tryAcquire("s", now)) {
            window.push_back({now, true});
            ++repeats;
        }
        while (now - window.front().at > Limits.window) {
            (window.front().repeat ? repeats : firstAttempts) -= 1;
            window.pop_front();
        }
        excess = std::max(excess, repeats - Limits.ratio * firstAttempts);
    }
    return excess;
}

} // namespace

TEST_CASE("repeats of all daemons stay within ratio and slack in any window")
{
    for (const unsigned daemons : {1U, 14U, 90U, 300U}) {
        for (const double callsPerSecond : {5.0, 200.0, 2000.0}) {
            for (const unsigned idleSeconds : {0U, 5U, 25U}) {
                CHECK_MESSAGE(maxExcess({daemons, callsPerSecond, idleSeconds}) <= Limits.slack,
                              daemons << " daemons, " << callsPerSecond << " calls/s, idle "
                                      << idleSeconds << " s");
            }
        }
    }
}

TEST_CASE("an idle service may use only its daemon's share of the slack in each window")
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
    // The last repeat of each window is granted at random, with a standard deviation of at most
    // 0.5.
    CHECK(repeats <= Windows * share + 4 * 0.5 * std::sqrt(Windows));
}

TEST_CASE("repeats that were not used in one window do not carry over to the next one")
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
        // 2,000 of the 4,000 first attempts lie in the window.
        for (int i = 0; i < 2000; ++i) {
            now += milliseconds(5);
            budget.recordFirstAttempt("s", now);
            repeats += budget.tryAcquire("s", now) ? 1 : 0;
        }
    }
    // The current bucket adds a twentieth of the window.
    CHECK(repeats <= Seeds * (2000 * 0.2 * RetryBudget::RatioUsed * 1.05 + 1));
}

TEST_CASE("calls made by repeated runs are charged to the budget")
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

TEST_CASE("a run that was repeated twice is recorded until the later entry expires")
{
    RepeatedRuns runs;
    TimePoint now {};
    runs.add("order-with-a-long-identifier", now);
    runs.add("order-with-a-long-identifier", now + milliseconds(3000));
    CHECK(runs.contains("order-with-a-long-identifier", now + milliseconds(6000)));
    CHECK_FALSE(runs.contains("order-with-a-long-identifier", now + milliseconds(9000)));
    CHECK_FALSE(runs.contains("", now));
}
