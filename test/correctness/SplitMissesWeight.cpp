// Guards against a split route whose services get other shares than their weights.
#include "decisions/WeightedSplit.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;

TEST_CASE("each service gets its share within one call, also over short spans")
{
    Route route;
    route.split = {{"a", 90}, {"b", 10}};
    WeightedSplit split;
    std::map<std::string, int> counts;
    for (int n = 1; n <= 500; ++n) {
        ++counts[split.next(route)];
        CHECK(std::abs(counts["b"] - n * 0.1) <= 1);
    }
}

TEST_CASE("routes have sequences of their own, and a route without a split has one service")
{
    Route first;
    first.prefix = "/a/";
    first.split = {{"a", 1}, {"b", 1}};
    Route second = first;
    second.prefix = "/b/";
    WeightedSplit split;
    CHECK(split.next(first) == split.next(second));
    Route plain;
    plain.service = "s";
    CHECK(split.next(plain) == "s");
}
