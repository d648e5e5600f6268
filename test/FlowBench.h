// One CallFlow with a number of daemons to choose from, driven by hand.
#pragma once

#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"

namespace Coltsfootwell::Test {

constexpr TimePoint Start {};

struct Bench
{
    explicit Bench(unsigned daemons, const Guards &guards = FullGuards) : guards(guards)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->dataCentres["dc"] = {"r", true};
        routing.configurationChanged(configuration);
        std::vector<Member> members;
        for (unsigned i = 0; i < daemons; ++i) {
            Member member;
            member.id = {"d" + std::to_string(i), 1};
            member.region = "r";
            member.dataCentre = "dc";
            member.service = "s";
            member.backend = BackendState::Warm;
            members.push_back(member);
        }
        routing.membersChanged(members);
    }

    CallFlow flow(bool idempotent, bool replayable = true)
    {
        CallFacts facts;
        facts.service = "s";
        facts.idempotent = idempotent;
        facts.bodyReplayable = replayable;
        facts.deadline = Start + deadline;
        return {facts,
                CallFlowParts {routing, random, budget, std::chrono::milliseconds(10), guards}};
    }

    SeededRandom random {1};
    Routing routing {Place {{"entry", 1}, "r", "dc"}, random};
    RetryBudget budget;
    const Guards &guards;
    Duration deadline = std::chrono::seconds(1);
};

template <typename Action>
const Action *find(std::span<const CallAction> actions)
{
    for (const CallAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace Coltsfootwell::Test
