// Chooses the serving daemon for an attempt from what this daemon has seen of the others.
#pragma once

#include "decisions/CallFacts.h"
#include "decisions/Configuration.h"
#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "decisions/Target.h"
#include "kernel/Random.h"

#include <span>
#include <unordered_map>
#include <variant>

namespace Coltsfootwell {

/// \brief Place of the daemon that chooses.
struct Place
{
    DaemonId self;
    std::string region;
    std::string dataCentre;
};

/// \brief How an attempt ended, as a load observation.
struct AttemptFeedback
{
    /// False for refusals, lost answers and answers with a status of 500 or more.
    bool good = false;
    Duration elapsed {};
};

/// \brief Picks targets and learns from the attempts sent to them.
class Routing
{
public:
    using Choice = std::variant<Target, Reason>;

    /// \param place this daemon.
    /// \param random source for the random choices; outlives the object.
    Routing(Place place, Random &random);

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
    struct Observation
    {
        unsigned inFlight = 0;
        LoadReport report;
    };

    bool isCandidate(const Member &member, const CallFacts &facts) const;

    Place m_place;
    Random &m_random;
    std::vector<Member> m_members;
    ConfigurationPtr m_configuration;
    std::unordered_map<DaemonId, Observation> m_observations;
};

} // namespace Coltsfootwell
