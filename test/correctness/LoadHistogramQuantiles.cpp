// Guards against quantiles that understate the tail or lie above the largest latency.
#include "programs/LoadHistogram.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

TEST_CASE("quantiles are within 2% above the exact value")
{
    LoadHistogram histogram;
    for (int i = 1; i <= 10'000; ++i) {
        histogram.add(std::chrono::microseconds(10 * i));
    }
    for (const double share : {0.5, 0.9, 0.99, 0.999}) {
        const double exact = share * 100'000'000;
        const auto found = static_cast<double>(histogram.quantile(share).count());
        CHECK(found >= exact);
        CHECK(found <= exact * 1.0201);
    }
    CHECK(histogram.max() == 100ms);
    CHECK(histogram.quantile(1) == 100ms);
}

TEST_CASE("one slow call in a thousand shows in p99.9 and not in p99")
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

TEST_CASE("an empty histogram and latencies outside the buckets do no harm")
{
    LoadHistogram histogram;
    CHECK(histogram.quantile(0.5) == 0ns);
    histogram.add(-5ns);
    histogram.add(1000s);
    CHECK(histogram.quantile(0.999) == 1000s);
    CHECK(histogram.count() == 2);
}
