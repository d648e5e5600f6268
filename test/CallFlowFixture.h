// Fixture for tests of CallFlow that supply all inputs and times explicitly.
#pragma once

#include "PlacementFixture.h"
#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"

namespace Coltsfootwell::Testing {

constexpr TimePoint Start = TimePoint() + std::chrono::hours(1);

struct CallFlowFixture
{
    explicit CallFlowFixture(unsigned daemons, const Guards &guards = FullGuards) : guards(guards)
    {
        std::vector<Member> members;
        Testing::addMembers(members, "r", "dc", "s", daemons);
        placement.membersChanged(members);
        placement.configurationChanged(Testing::configurationFor(members));
        budget.limitsChanged({1.0, 1000, std::chrono::milliseconds(10'000)});
    }

    CallFlow flow(bool idempotent)
    {
        CallAttributes attributes;
        attributes.service = "s";
        attributes.idempotent = idempotent;
        attributes.received = Start;
        attributes.objective = Start + objective;
        attributes.deadline = Start + deadline;
        return {attributes, CallFlowDependencies {placement, random, budget, guards}};
    }

    SeededRandom random {1};
    Placement placement {Locality {{"entry", 1}, "r", "dc"}, random};
    RetryBudget budget {random};
    const Guards &guards;
    Duration objective = std::chrono::milliseconds(300);
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

} // namespace Coltsfootwell::Testing
