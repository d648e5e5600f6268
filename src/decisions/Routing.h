// Chooses the serving daemon for an attempt from what this daemon has seen of the others.
#pragma once

#include "decisions/CallFacts.h"
#include "decisions/Configuration.h"
#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "decisions/Place.h"
#include "decisions/RegionBudget.h"
#include "decisions/RoutingStrategy.h"
#include "decisions/Target.h"
#include "kernel/Random.h"

#include <map>
#include <span>
#include <unordered_map>
#include <variant>

namespace Coltsfootwell {

/// \brief How an attempt ended, as a load observation.
struct AttemptFeedback
{
    /// False for refusals, lost answers and answers with a status of 500 or more.
    bool good = false;
    Duration elapsed {};
    /// True when the serving daemon has refused; it is busy rather than broken.
    bool refused = false;
};

/// \brief Picks targets and learns from the attempts sent to them.
class Routing
{
public:
    using Choice = std::variant<Target, Reason>;

    /// \param place this daemon.
    /// \param random source for the random choices; outlives the object.
    /// \param strategy how to choose among candidates; null for "two-choices".
    Routing(Place place, Random &random, std::unique_ptr<RoutingStrategy> strategy = nullptr);

    /// \brief Makes calls to other regions depend on a budget.
    /// \param gate outlives the object.
    void limitRegionsBy(RegionGate &gate) { m_regionGate = &gate; }

    /// \brief Takes over a new list of daemons.
    /// \param members all known daemons, also unreachable ones.
    void membersChanged(std::span<const Member> members);

    /// \brief Takes over a new configuration.
    /// \param configuration the version in force.
    void configurationChanged(ConfigurationPtr configuration);

    /// \brief Chooses a target.
    /// \param facts the call.
    /// \param excluded daemons already tried.
    /// \param now current time.
    /// \return the target, or why there is none.
    Choice pick(const CallFacts &facts, std::span<const DaemonId> excluded, TimePoint now);

    /// \brief Counts an attempt in flight.
    void sent(const DaemonId &daemon, TimePoint now);

    /// \brief Takes an attempt out of flight and learns from it.
    void finished(const DaemonId &daemon, const AttemptFeedback &feedback, TimePoint now);

    /// \brief Stores a load report that came with an answer.
    void reported(const DaemonId &daemon, const LoadReport &report, TimePoint now);

private:
    struct SubsetKey
    {
        std::string service;
        std::vector<std::string> homeRegions;

        auto operator<=>(const SubsetKey &) const = default;
    };

    using Subset = std::vector<RoutingCandidate>;

    const Subset &subsetFor(const CallFacts &facts);
    Subset buildSubset(const CallFacts &facts);
    void gather(const Subset &subset, std::span<const DaemonId> excluded, bool ownRegion);

    Place m_place;
    Random &m_random;
    std::unique_ptr<RoutingStrategy> m_strategy;
    RegionGate *m_regionGate = nullptr;
    std::vector<Member> m_members;
    ConfigurationPtr m_configuration;
    /// Rebuilt on demand after the members or the configuration have changed.
    std::map<SubsetKey, Subset> m_subsets;
    /// Candidates of the pick under way, kept to save allocations.
    std::vector<const RoutingCandidate *> m_candidates;
    /// Subsets point to its values, which stay in place when others are added.
    std::unordered_map<DaemonId, LoadObservation> m_observations;
};

} // namespace Coltsfootwell
