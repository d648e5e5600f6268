#include "decisions/Routing.h"

#include <algorithm>

namespace Coltsfootwell {

Routing::Routing(Place place, Random &random) : m_place(std::move(place)), m_random(random)
{
}

void Routing::membersChanged(std::span<const Member> members)
{
    m_members.assign(members.begin(), members.end());
}

void Routing::configurationChanged(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
}

Routing::Choice Routing::pick(const CallFacts &facts, std::span<const DaemonId> excluded, TimePoint)
{
    std::vector<const Member *> candidates;
    for (const Member &member : m_members) {
        if (isCandidate(member, facts)
            && std::ranges::find(excluded, member.id) == excluded.end()) {
            candidates.push_back(&member);
        }
    }
    if (candidates.empty()) {
        return Reason::NoBackendServer;
    }
    const Member *first = candidates[m_random.below(candidates.size())];
    const Member *second = candidates[m_random.below(candidates.size())];
    const bool takeSecond
        = m_observations[second->id].inFlight < m_observations[first->id].inFlight;
    const Member &best = takeSecond ? *second : *first;
    return Target {best.id, best.endpoint, best.region};
}

void Routing::sent(const DaemonId &daemon, TimePoint)
{
    ++m_observations[daemon].inFlight;
}

void Routing::finished(const DaemonId &daemon, const AttemptFeedback &, TimePoint)
{
    --m_observations[daemon].inFlight;
}

void Routing::reported(const DaemonId &daemon, const LoadReport &report, TimePoint)
{
    m_observations[daemon].report = report;
}

bool Routing::isCandidate(const Member &member, const CallFacts &facts) const
{
    const bool serves = member.service == facts.service && member.state == MemberState::Alive
        && !member.leaving
        && (member.backend == BackendState::Cold || member.backend == BackendState::Warm);
    const bool atHome = facts.homeRegions.empty()
        || std::ranges::find(facts.homeRegions, member.region) != facts.homeRegions.end();
    return serves && atHome && m_configuration && m_configuration->inService(member.dataCentre)
        && !m_configuration->drained.contains(member.id.name);
}

} // namespace Coltsfootwell
