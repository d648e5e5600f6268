#include "decisions/Routing.h"

#include "decisions/RoutingSubset.h"

#include <algorithm>
#include <unordered_set>

namespace Coltsfootwell {

namespace {

/// Home regions come from callers, so the number of cached subsets is bounded.
constexpr std::size_t MaxSubsets = 1000;

} // namespace

Routing::Routing(Place place, Random &random, std::unique_ptr<RoutingStrategy> strategy)
    : m_place(std::move(place)), m_random(random),
      m_strategy(strategy ? std::move(strategy) : makeRoutingStrategy("two-choices"))
{
}

void Routing::membersChanged(std::span<const Member> members)
{
    m_members.assign(members.begin(), members.end());
    m_subsets.clear();
    std::unordered_set<DaemonId> known;
    for (const Member &member : m_members) {
        known.insert(member.id);
    }
    std::erase_if(m_observations, [&known](const auto &item) {
        return item.second.inFlight == 0 && !known.contains(item.first);
    });
}

void Routing::configurationChanged(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_subsets.clear();
}

Routing::Choice Routing::pick(const CallFacts &facts, std::span<const DaemonId> excluded,
                              TimePoint now)
{
    if (!m_configuration) {
        return Reason::StaleConfiguration;
    }
    const Subset &subset = subsetFor(facts);
    gather(subset, excluded, true);
    if (m_candidates.empty()) {
        gather(subset, excluded, false);
        if (m_candidates.empty()) {
            return Reason::NoBackendServer;
        }
        if (m_regionGate && !m_regionGate->allows(now)) {
            return Reason::RegionBudget;
        }
    }
    return m_candidates[m_strategy->choose(m_candidates, m_random, now)]->target;
}

void Routing::sent(const DaemonId &daemon, TimePoint)
{
    ++m_observations[daemon].inFlight;
}

void Routing::finished(const DaemonId &daemon, const AttemptFeedback &feedback, TimePoint now)
{
    LoadObservation &seen = m_observations[daemon];
    --seen.inFlight;
    if (feedback.good) {
        seen.learnAnswer(feedback.elapsed, now);
    } else {
        seen.learnFailure(feedback.refused ? LoadObservation::RefusalWeight : 1, now);
    }
}

void Routing::reported(const DaemonId &daemon, const LoadReport &report, TimePoint)
{
    m_observations[daemon].report = report;
}

const Routing::Subset &Routing::subsetFor(const CallFacts &facts)
{
    SubsetKey key {facts.service, facts.homeRegions};
    if (const auto it = m_subsets.find(key); it != m_subsets.end()) {
        return it->second;
    }
    if (m_subsets.size() >= MaxSubsets) {
        m_subsets.clear();
    }
    return m_subsets.emplace(std::move(key), buildSubset(facts)).first->second;
}

Routing::Subset Routing::buildSubset(const CallFacts &facts)
{
    const auto rules = m_configuration->services.find(facts.service);
    const unsigned coldSlots = rules == m_configuration->services.end()
        ? 1
        : std::max(1U, rules->second.coldStart.initialSlots);
    Subset subset;
    for (const Member *member :
         chooseSubset(m_place, facts.service, facts.homeRegions, m_members, *m_configuration)) {
        const unsigned slots = std::max(1U, member->slots);
        subset.push_back(
            {{member->id, member->endpoint, member->region},
             member->backend == BackendState::Cold ? std::min(coldSlots, slots) : slots,
             &m_observations[member->id]});
    }
    return subset;
}

void Routing::gather(const Subset &subset, std::span<const DaemonId> excluded, bool ownRegion)
{
    m_candidates.clear();
    for (const RoutingCandidate &candidate : subset) {
        if ((candidate.target.region == m_place.region) == ownRegion
            && std::ranges::find(excluded, candidate.target.daemon) == excluded.end()) {
            m_candidates.push_back(&candidate);
        }
    }
}

} // namespace Coltsfootwell
