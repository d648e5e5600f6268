// Guards against a call that is served outside the home regions of its route, its customer or its
// caller, and against work that a daemon must refuse before it looks for a target.
#include "services/CallRules.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

const Place Here {{"entry", 1}, "klang", "klang-a"};

Configuration configuration()
{
    Configuration result;
    result.services["s"].maxBodyBytes = 10;
    result.routes.push_back({"/s", "s", {"GET"}, {"klang", "penang"}});
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

std::optional<Reason> refusalOf(const SubmitCall &call, const Configuration &rules,
                                bool fresh = true)
{
    const auto facts
        = factsOf(call, rules, fresh ? TimePoint::max() : TimePoint::min(), Here, TimePoint());
    const auto *refused = std::get_if<CallRefused>(&facts);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

} // namespace

TEST_CASE("the home regions of route, customer and caller all count")
{
    SubmitCall plain = call();
    CHECK_FALSE(refusalOf(plain, configuration()));
    plain.envelope.customer = "north";
    CHECK(refusalOf(plain, configuration()) == Reason::OutsideHomeRegions);

    SubmitCall labelled = call();
    labelled.envelope.homeRegions = {"klang", "elsewhere"};
    const auto facts = factsOf(labelled, configuration(), TimePoint::max(), Here, TimePoint());
    REQUIRE(std::holds_alternative<CallFacts>(facts));
    CHECK(std::get<CallFacts>(facts).homeRegions == std::vector<std::string> {"klang"});

    labelled.envelope.homeRegions = {"elsewhere"};
    CHECK(refusalOf(labelled, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("regions that have nothing in common allow none, also with a third list")
{
    SubmitCall none = call();
    none.envelope.customer = "north";
    none.envelope.homeRegions = {"klang"};
    CHECK(refusalOf(none, configuration()) == Reason::OutsideHomeRegions);
}

TEST_CASE("a stale configuration refuses work unless the service serves when isolated")
{
    Configuration rules = configuration();
    CHECK(refusalOf(call(), rules, false) == Reason::StaleConfiguration);
    rules.services["s"].whenIsolated = IsolationPolicy::Serve;
    CHECK_FALSE(refusalOf(call(), rules, false));
}

TEST_CASE("a body beyond the limit of its service is refused")
{
    SubmitCall large = call();
    large.body.bytes = std::make_shared<const std::string>(11, 'x');
    CHECK(refusalOf(large, configuration()) == Reason::BodyTooLarge);
    large.body.bytes.reset();
    large.body.streamLength = 11;
    CHECK(refusalOf(large, configuration()) == Reason::BodyTooLarge);
}
