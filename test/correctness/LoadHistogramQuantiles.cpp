// Guards against quantiles that understate the tail latency or exceed the maximum latency.
#include "programs/LoadHistogram.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

TEST_CASE("quantiles are at most 2% above the exact value and never below it")
{
    LoadHistogram histogram;
    for (int i = 1; i <= 10'000; ++i) {
        histogram.add(std::chrono::microseconds(10 * i));
    }
    for (const double rank : {0.5, 0.9, 0.99, 0.999}) {
        const double exact = rank * 100'000'000;
        const auto estimate = static_cast<double>(histogram.quantile(rank).count());
        CHECK(estimate >= exact);
        CHECK(estimate <= exact * 1.0201);
    }
    CHECK(histogram.max() == 100ms);
    CHECK(histogram.quantile(1) == 100ms);
}

TEST_CASE("two slow calls in a thousand raise p99.9 but not p99")
{
    LoadHistogram histogram;
    for (int i = 0; i < 998; ++i) {
        histogram.add(1ms);
    }
    histogram.add(2s);
    histogram.add(2s);
    CHECK(histogram.quantile(0.99) < 2ms);
    CHECK(histogram.quantile(0.999) == 2s);
}

TEST_CASE("an empty histogram and latencies outside the bucket range are handled")
{
    LoadHistogram histogram;
    CHECK(histogram.quantile(0.5) == 0ns);
    histogram.add(-5ns);
    histogram.add(1000s);
    CHECK(histogram.quantile(0.999) == 1000s);
    CHECK(histogram.count() == 2);
}
