// Guards against a call that is sent outside the home regions of its route, its customer or its
// caller, and against work that a daemon must refuse before it looks for a target.
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

std::optional<Reason> refusalOf(const SubmitCall &call, const Configuration &rules)
{
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto facts = routeCall(call, rules, split);
    const auto *refused = std::get_if<CallRefused>(&facts);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

} // namespace

TEST_CASE("the home regions of route, customer and caller all count")
{
    SubmitCall plain = call();
    CHECK_FALSE(refusalOf(plain, configuration()));
    plain.call.customer = "north";
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto northern = routeCall(plain, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(northern));
    CHECK(std::get<CallAttributes>(northern).homeRegions == std::vector<std::string> {"penang"});

    SubmitCall labelled = call();
    labelled.call.homeRegions = {"klang", "elsewhere"};
    const auto facts = routeCall(labelled, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(facts));
    CHECK(std::get<CallAttributes>(facts).homeRegions == std::vector<std::string> {"klang"});

    labelled.call.homeRegions = {"elsewhere"};
    CHECK(refusalOf(labelled, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("regions that have nothing in common allow none, also with a third list")
{
    SubmitCall none = call();
    none.call.customer = "north";
    none.call.homeRegions = {"klang"};
    CHECK(refusalOf(none, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("a caller of another region is served at home")
{
    SubmitCall plain = call();
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto facts = routeCall(plain, configuration(), split);
    REQUIRE(std::holds_alternative<CallAttributes>(facts));
    CHECK(std::get<CallAttributes>(facts).homeRegions
          == std::vector<std::string> {"klang", "penang"});
}

TEST_CASE("the route's timeout bounds what the caller allows")
{
    SubmitCall patient = call();
    patient.call.deadline = std::chrono::milliseconds(5000);
    Configuration rules = configuration();
    rules.routes[0].timeout = std::chrono::milliseconds(1200);
    rules.routes[0].objective = std::chrono::milliseconds(300);
    SeededRandom random(1);
    WeightedSplit split(random);
    const auto facts = std::get<CallAttributes>(routeCall(patient, rules, split));
    CHECK(facts.deadline == patient.received + std::chrono::milliseconds(1200));
    CHECK(facts.objective == patient.received + std::chrono::milliseconds(300));
}
