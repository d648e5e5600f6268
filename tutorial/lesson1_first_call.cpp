// Lesson 1: the decisions behind one call, without sockets and with a clock that we move.
//
// Two daemons run beside one backend server each. A caller asks the first daemon, which chooses a
// target; the chosen daemon then decides whether its backend server may take the call.
#include "decisions/Admission.h"
#include "decisions/Routing.h"
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
    result->services["estoque-consulta"].coldStart.initialSlots = 1;
    result->routes.push_back({"/estoque", "estoque-consulta", {"GET"}, {}});
    return result;
}

/// The one place of this lesson that depends on how a slot is asked for.
bool admitted(Admission &admission, TimePoint now)
{
    static std::uint64_t lastCall = 0;
    Reason reason {};
    return admission.admit({1, ++lastCall}, now + std::chrono::milliseconds(500), now, reason)
        == AdmissionVerdict::Admitted;
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
    Routing routing({{"recife-a-1", 1}, "nordeste-litoral", "recife-a"}, random);
    const std::vector<Member> members {daemonIn("recife-a"), daemonIn("salvador-b")};
    routing.membersChanged(members);
    routing.configurationChanged(rules);
    CallFacts facts;
    facts.service = route->service;
    facts.idempotent = true;
    facts.deadline = clock.now() + std::chrono::milliseconds(500);
    const Routing::Choice choice = routing.pick(facts, {}, clock.now());
    expect(std::holds_alternative<Target>(choice), "a target was chosen");
    const DaemonId target = std::get<Target>(choice).daemon;
    routing.sent(target, clock.now());

    // 3. The serving daemon admits the call. Its backend server has just announced itself, so it is
    //    cold and gets one call at a time.
    Admission admission;
    admission.rulesChanged(rules->services.at("estoque-consulta"));
    admission.announced(9, clock.now());
    expect(admission.report().state == BackendState::Cold, "a new backend server counts as cold");
    expect(admission.report().limit == 1, "a cold backend server starts with one slot");
    expect(admitted(admission, clock.now()), "the first call gets the slot");
    expect(!admitted(admission, clock.now()), "a second call at once does not");

    // 4. The answer comes 3 ms later. The entry daemon learns from it for its next choice.
    clock.advance(std::chrono::milliseconds(3));
    routing.finished(target, {true, std::chrono::milliseconds(3)}, clock.now());

    // 5. A data centre out of service gets no further work.
    const auto without = configuration();
    without->version = 2;
    without->dataCentres["recife-a"].inService = false;
    routing.configurationChanged(without);
    for (int i = 0; i < 100; ++i) {
        const Routing::Choice next = routing.pick(facts, {}, clock.now());
        if (!std::holds_alternative<Target>(next)
            || std::get<Target>(next).daemon.name != "salvador-b-1") {
            expect(false, "all calls go to the other data centre");
        }
    }
    expect(true, "all calls go to the other data centre");
    return 0;
}
