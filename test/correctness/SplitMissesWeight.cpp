// Guards against route splits whose services get shares that differ from their weights.
#include "decisions/WeightedSplit.h"
#include "kernel/Random.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;

TEST_CASE("the share of each service is exact to one call, even over a short sequence")
{
    Route route;
    route.split = {{"a", 90}, {"b", 10}};
    SeededRandom random(3);
    WeightedSplit split(random);
    std::map<std::string, int> counts;
    for (int n = 1; n <= 500; ++n) {
        ++counts[split.next(route)];
        CHECK(std::abs(counts["b"] - n * 0.1) <= 1);
    }
}

TEST_CASE("each route has its own sequence, and a route without a split has one service")
{
    Route first;
    first.prefix = "/a/";
    first.split = {{"a", 1}, {"b", 1}};
    Route second = first;
    second.prefix = "/b/";
    SeededRandom random(3);
    WeightedSplit split(random);
    std::map<std::string, int> counts;
    for (int n = 1; n <= 100; ++n) {
        ++counts["first-" + split.next(first)];
        ++counts["second-" + split.next(second)];
        CHECK(std::abs(counts["first-a"] - n * 0.5) <= 1);
        CHECK(std::abs(counts["second-a"] - n * 0.5) <= 1);
    }
    Route plain;
    plain.service = "s";
    CHECK(split.next(plain) == "s");
}

TEST_CASE("shares hold over many daemons that get only a few calls after each change")
{
    // All daemons used to start with the heaviest service, which then got all calls of a short
    // period.
    Route route;
    route.split = {{"a", 60}, {"b", 40}};
    for (const int calls : {1, 2, 3}) {
        CAPTURE(calls);
        SeededRandom random(4);
        constexpr int Daemons = 1000;
        int heaviest = 0;
        for (int i = 0; i < Daemons; ++i) {
            WeightedSplit split(random);
            for (int n = 0; n < calls; ++n) {
                heaviest += split.next(route) == "a" ? 1 : 0;
            }
        }
        CHECK(std::abs(heaviest / double(Daemons * calls) - 0.6) <= 0.05);
    }
}
