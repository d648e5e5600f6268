// Guards against retries that multiply the load of an outage, and against a forgotten bucket that
// starts anew with fresh tokens.
#include "CallWorld.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Test;

TEST_CASE("retries in an outage stay within a tenth of first attempts and the initial tokens")
{
    Faults faults;
    faults.refusal = 1;
    faults.maxDelay = std::chrono::milliseconds(1);
    CallWorld world(1, 5, faults);
    constexpr unsigned Calls = 1000;
    unsigned attempts = 0;
    for (unsigned i = 0; i < Calls; ++i) {
        world.call(i % 2 == 0, std::chrono::milliseconds(100));
        world.run(std::chrono::seconds(1));
        attempts += world.record(i).attempts;
        const double retries = attempts - (i + 1.0);
        CHECK(retries <= 0.1 * (i + 1) + RetryBudget::InitialTokens + 1e-6);
    }
    CHECK(attempts > Calls);
}

TEST_CASE("the bucket holds at most its capacity")
{
    RetryBudget budget;
    for (unsigned i = 0; i < 1000; ++i) {
        budget.firstAttempt("s", "t");
    }
    unsigned taken = 0;
    while (budget.take("s", "t")) {
        ++taken;
    }
    CHECK(taken == 10);
}

TEST_CASE("a spent bucket is not forgotten for a new customer")
{
    RetryBudget budget;
    for (std::size_t i = 0; i < RetryBudget::MaxBuckets + 10; ++i) {
        while (budget.take("s", std::to_string(i))) { }
    }
    CHECK(budget.size() <= RetryBudget::MaxBuckets + 1);
    CHECK_FALSE(budget.take("s", "0"));
    CHECK_FALSE(budget.take("s", "another new customer"));
}
