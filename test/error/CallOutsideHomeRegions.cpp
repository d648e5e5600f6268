// Guards against sending calls outside the home regions of their route, customer or caller, and
// against placing calls that must be refused before placement.
#include "services/CallRouting.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

Configuration configuration()
{
    Configuration result;
    result.services["s"] = {};
    Route route;
    route.prefix = "/s";
    route.service = "s";
    route.idempotentMethods = {"GET"};
    route.homeRegions = {"klang", "penang"};
    result.routes.push_back(route);
    result.customerRegions["north"] = {"penang"};
    return result;
}

SubmitCall call()
{
    SubmitCall result;
    auto head = std::make_shared<CallHead>();
    head->method = "POST";
    head->target = "/s/x";
    result.head = head;
    return result;
}

std::optional<Reason> refusalReason(const SubmitCall &call, const Configuration &rules)
{
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto attributes = routeCall(call, rules, split);
    const auto *refused = std::get_if<CallRefused>(&attributes);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

} // namespace

TEST_CASE("home regions are the intersection of those of route, customer and caller")
{
    SubmitCall submitted = call();
    CHECK_FALSE(refusalReason(submitted, configuration()));
    submitted.call.customer = "north";
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto customerResult = routeCall(submitted, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(customerResult));
    CHECK(std::get<CallAttributes>(customerResult).homeRegions
          == std::vector<std::string> {"penang"});

    SubmitCall restricted = call();
    restricted.call.homeRegions = {"klang", "elsewhere"};
    const auto attributes = routeCall(restricted, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(attributes));
    CHECK(std::get<CallAttributes>(attributes).homeRegions == std::vector<std::string> {"klang"});

    restricted.call.homeRegions = {"elsewhere"};
    CHECK(refusalReason(restricted, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("disjoint home regions allow no region, even with a third list")
{
    SubmitCall submitted = call();
    submitted.call.customer = "north";
    submitted.call.homeRegions = {"klang"};
    CHECK(refusalReason(submitted, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("a call without regions of its own keeps the home regions of its route")
{
    SubmitCall submitted = call();
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto attributes = routeCall(submitted, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(attributes));
    CHECK(std::get<CallAttributes>(attributes).homeRegions
          == std::vector<std::string> {"klang", "penang"});
}

TEST_CASE("the route's timeout limits the deadline of the caller")
{
    SubmitCall submitted = call();
    submitted.call.deadline = std::chrono::milliseconds(5000);
    Configuration rules = configuration();
    rules.routes[0].timeout = std::chrono::milliseconds(1200);
    rules.routes[0].objective = std::chrono::milliseconds(300);
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto attributes = std::get<CallAttributes>(routeCall(submitted, rules, split));
    CHECK(attributes.deadline == submitted.received + std::chrono::milliseconds(1200));
    CHECK(attributes.objective == submitted.received + std::chrono::milliseconds(300));
}
