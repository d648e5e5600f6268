// Lesson 1: the decisions behind one call, without sockets and with a manually advanced clock.
//
// There are two daemons, each beside one backend server. A caller sends its call to one of them,
// the entry daemon, which chooses a target. The daemon of the target, the serving daemon, then
// decides when its backend server may start the call.
#include "decisions/ColdRateLimiter.h"
#include "decisions/Placement.h"
#include "decisions/SlotQueue.h"
#include "kernel/ManualExecutor.h"

#include <cstdlib>
#include <iostream>

using namespace Coltsfootwell;

namespace {

/// Prints the result of a check, and ends the lesson with exit code 1 if the check has failed.
void expect(bool condition, std::string_view description)
{
    std::cout << (condition ? "ok: " : "FAILED: ") << description << '\n';
    if (!condition) {
        std::exit(1);
    }
}

/// Returns a daemon in a data centre, with a warm backend server beside it.
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

/// Returns a configuration with two data centres, one service and one route to it.
std::shared_ptr<Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->dataCentres["recife-a"] = {"nordeste-litoral", true};
    configuration->dataCentres["salvador-b"] = {"nordeste-litoral", true};
    configuration->services["estoque-consulta"].slots = 9;
    Route route;
    route.prefix = "/estoque";
    route.service = "estoque-consulta";
    route.idempotentMethods = {"GET"};
    configuration->routes.push_back(route);
    return configuration;
}

} // namespace

int main()
{
    ManualExecutor clock;
    SeededRandom random(1);

    // 1. The entry daemon looks up the route whose prefix is the longest match for the path.
    const auto configuration = makeConfiguration();
    const Route *route = configuration->routeFor("/estoque/loja-7");
    expect(route && route->service == "estoque-consulta",
           "the path matches the route of a service");

    // 2. The entry daemon chooses a target among the daemons whose backend server provides the
    //    service of the route.
    Placement placement({{"recife-a-1", 1}, "nordeste-litoral", "recife-a"}, random);
    const std::vector<Member> members {daemonIn("recife-a"), daemonIn("salvador-b")};
    placement.membersChanged(members);
    placement.configurationChanged(configuration);
    CallAttributes attributes;
    attributes.service = route->service;
    attributes.idempotent = true;
    attributes.objective = clock.now() + std::chrono::milliseconds(300);
    attributes.deadline = clock.now() + std::chrono::milliseconds(500);
    Placement::Choice choice = placement.pick(attributes, {}, clock.now());
    expect(std::holds_alternative<PlacedAttempt>(choice), "the entry daemon finds a target");
    const PlacedAttempt placed = std::get<PlacedAttempt>(choice);
    expect(placed.target.daemon.name == "recife-a-1",
           "the nearest of several equally good targets is chosen");

    // 3. The serving daemon assigns a slot of its backend server to the call. If no slot is free,
    //    the call is queued, but no longer than until startBy, which the entry daemon sets.
    SlotQueue slots;
    slots.slotsChanged(1);
    expect(slots.offer({{1, 1}, placed.startBy, 0, false}, clock.now()) == SlotVerdict::Start,
           "the first call gets the slot");
    expect(slots.offer({{1, 2}, placed.startBy, 0, false}, clock.now()) == SlotVerdict::Wait,
           "the second call is queued");
    slots.slotReleased();
    const auto decisions = slots.decide(clock.now(), true);
    expect(decisions.size() == 1 && decisions[0].action == SlotAction::Start,
           "the second call starts when the slot is free again");

    // 4. A cold server handles only a few calls per second, regardless of its free slots.
    ColdRateLimiter rateLimiter;
    rateLimiter.limitChanged(2);
    rateLimiter.setColdUntil(clock.now() + std::chrono::seconds(3));
    rateLimiter.callStarted(clock.now());
    rateLimiter.callStarted(clock.now());
    expect(!rateLimiter.mayStart(clock.now()),
           "the third call within a second exceeds the rate limit of a cold server");

    // 5. The server reports that its work currently takes seven times the typical time. The next
    //    calls go to the other data centre, which adds 3 ms to each.
    LoadReport slowReport;
    slowReport.limit = 9;
    slowReport.state = BackendState::Warm;
    slowReport.slownessPercent = 700;
    clock.advance(std::chrono::milliseconds(1));
    placement.loadReported(placed.target.daemon, slowReport, clock.now());
    choice = placement.pick(attributes, {}, clock.now());
    expect(std::get<PlacedAttempt>(choice).target.daemon.name == "salvador-b-1",
           "a single load report diverts calls from a slow server");

    // 6. Operators take a data centre out of service. It receives no further calls.
    const auto withoutSalvador = makeConfiguration();
    withoutSalvador->version = 2;
    withoutSalvador->dataCentres["salvador-b"].inService = false;
    placement.configurationChanged(withoutSalvador);
    for (int i = 0; i < 100; ++i) {
        choice = placement.pick(attributes, {}, clock.now());
        if (std::get<PlacedAttempt>(choice).target.daemon.name != "recife-a-1") {
            expect(false, "all calls go to the data centre that is in service");
        }
    }
    expect(true, "all calls go to the data centre that is in service");
    return 0;
}
