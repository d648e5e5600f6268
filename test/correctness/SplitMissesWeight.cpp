// Guards against a split route whose services get other shares than their weights.
#include "decisions/WeightedSplit.h"
#include "kernel/Random.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;

TEST_CASE("each service gets its share within one call, also over short spans")
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

TEST_CASE("routes have sequences of their own, and a route without a split has one service")
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

TEST_CASE("shares hold over many daemons that get a call or two after each change")
{
    // All daemons began with the heaviest service, so that it got all calls of a short span.
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
