// Lesson 1: the decisions behind one call, without sockets and with a clock that we move.
//
// Two daemons run beside one backend server each. A caller asks the first daemon, which chooses a
// target; the chosen daemon then decides whether its backend server may take the call.
#include "decisions/ColdRateLimiter.h"
#include "decisions/Placement.h"
#include "decisions/SlotQueue.h"
#include "kernel/ManualExecutor.h"

#include <cstdlib>
#include <iostream>

using namespace Coltsfootwell;

namespace {

void expect(bool holds, std::string_view what)
{
    std::cout << (holds ? "ok: " : "FAILED: ") << what << '\n';
    if (!holds) {
        std::exit(1);
    }
}

Member daemonIn(const std::string &dataCentre)
{
    Member member;
    member.id = {dataCentre + "-1", 1};
    member.region = "nordeste-litoral";
    member.dataCentre = dataCentre;
    member.service = "estoque-consulta";
    member.backend = BackendState::Warm;
    member.slots = 9;
    return member;
}

std::shared_ptr<Configuration> configuration()
{
    auto result = std::make_shared<Configuration>();
    result->version = 1;
    result->dataCentres["recife-a"] = {"nordeste-litoral", true};
    result->dataCentres["salvador-b"] = {"nordeste-litoral", true};
    result->services["estoque-consulta"].slots = 9;
    Route route;
    route.prefix = "/estoque";
    route.service = "estoque-consulta";
    route.idempotentMethods = {"GET"};
    result->routes.push_back(route);
    return result;
}

} // namespace

int main()
{
    ManualExecutor clock;
    SeededRandom random(1);

    // 1. The entry daemon finds the route by the longest prefix of the path.
    const auto rules = configuration();
    const Route *route = rules->routeFor("/estoque/loja-7");
    expect(route && route->service == "estoque-consulta", "the path leads to a service");

    // 2. It chooses a target among the daemons whose backend server offers that service.
    Placement placement({{"recife-a-1", 1}, "nordeste-litoral", "recife-a"}, random);
    const std::vector<Member> members {daemonIn("recife-a"), daemonIn("salvador-b")};
    placement.membersChanged(members);
    placement.configurationChanged(rules);
    CallAttributes facts;
    facts.service = route->service;
    facts.idempotent = true;
    facts.objective = clock.now() + std::chrono::milliseconds(300);
    facts.deadline = clock.now() + std::chrono::milliseconds(500);
    Placement::Choice choice = placement.pick(facts, {}, clock.now());
    expect(std::holds_alternative<PlacedAttempt>(choice), "a target was chosen");
    const PlacedAttempt placed = std::get<PlacedAttempt>(choice);
    expect(placed.target.daemon.name == "recife-a-1", "the nearest one, as long as it is as good");

    // 3. The serving daemon gives the call a slot of its backend server. A call beyond the slots
    //    waits, but not longer than its entry daemon allows.
    SlotQueue slots;
    slots.slotsChanged(1);
    expect(slots.offer({{1, 1}, placed.startBy, 0, false}, clock.now()) == SlotVerdict::Start,
           "the first call gets the slot");
    expect(slots.offer({{1, 2}, placed.startBy, 0, false}, clock.now()) == SlotVerdict::Wait,
           "the second one waits");
    slots.slotReleased();
    const auto decisions = slots.decide(clock.now(), true);
    expect(decisions.size() == 1 && decisions[0].action == SlotAction::Start,
           "it starts when the first has ended");

    // 4. A cold server bears a few calls per second, whatever its slots.
    ColdRateLimiter pacer;
    pacer.limitChanged(2);
    pacer.setColdUntil(clock.now() + std::chrono::seconds(3));
    pacer.callStarted(clock.now());
    pacer.callStarted(clock.now());
    expect(!pacer.mayStart(clock.now()), "the third call of a second waits for a cold server");

    // 5. The server reports that its work takes seven times as long now. The next calls go to the
    //    other data centre, which costs them 3 ms.
    LoadReport slow;
    slow.limit = 9;
    slow.state = BackendState::Warm;
    slow.slownessPercent = 700;
    clock.advance(std::chrono::milliseconds(1));
    placement.loadReported(placed.target.daemon, slow, clock.now());
    choice = placement.pick(facts, {}, clock.now());
    expect(std::get<PlacedAttempt>(choice).target.daemon.name == "salvador-b-1",
           "a slow spell moves calls away within one report");

    // 6. A data centre out of service gets no further work.
    const auto without = configuration();
    without->version = 2;
    without->dataCentres["salvador-b"].inService = false;
    placement.configurationChanged(without);
    for (int i = 0; i < 100; ++i) {
        choice = placement.pick(facts, {}, clock.now());
        if (std::get<PlacedAttempt>(choice).target.daemon.name != "recife-a-1") {
            expect(false, "all calls go to the data centre that is in service");
        }
    }
    expect(true, "all calls go to the data centre that is in service");
    return 0;
}
