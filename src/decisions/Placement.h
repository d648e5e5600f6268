// Chooses the backend server for an attempt by the time at which the answer is expected.
#pragma once

#include "decisions/CallAttributes.h"
#include "decisions/Configuration.h"
#include "decisions/Load.h"
#include "decisions/Locality.h"
#include "decisions/Outcome.h"
#include "decisions/Target.h"
#include "kernel/Random.h"

#include <map>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief A target and what is expected of it.
struct PlacedAttempt
{
    Target target;
    /// Time until the answer is here.
    Duration expected {};
    /// Latest start at the server; later the attempt is better placed anew.
    TimePoint startBy;
};

/// \brief Knows the load of the other daemons' servers as far as it was reported.
///
/// Load pattern: a quarter of the servers works several times slower for half a second, other ones
/// each time, so that an average of past answers is wrong at almost any moment. What counts is the
/// newest report, what this daemon has sent since, and the distance.
class Placement
{
public:
    using Choice = std::variant<PlacedAttempt, Reason>;

    /// Time of one answer of a server that has reported none.
    static constexpr std::chrono::milliseconds AssumedAnswer {50};
    /// Time for which a daemon that could not be reached is avoided.
    static constexpr std::chrono::milliseconds UnreachableTime {500};

    /// \param place this daemon.
    /// \param random source for choices among equals; outlives the object.
    Placement(Locality place, Random &random);

    /// \param members all known daemons, also unreachable ones.
    void membersChanged(std::span<const Member> members);

    /// \param configuration the version in force.
    void configurationChanged(ConfigurationPtr configuration);

    /// \param facts the call.
    /// \param excluded daemons that have refused the call.
    /// \return the best target, or why there is none.
    Choice pick(const CallAttributes &facts, std::span<const DaemonId> excluded, TimePoint now);

    /// \brief An attempt was sent to a daemon.
    void attemptSent(const DaemonId &daemon);

    /// \brief An attempt at a daemon has ended.
    /// \param answered false when it was refused or its answer was lost.
    void attemptEnded(const DaemonId &daemon, bool answered, TimePoint now);

    /// \brief A daemon has reported the load of its server.
    void loadReported(const DaemonId &daemon, const LoadReport &report, TimePoint now);

    /// \brief A daemon could not be reached.
    void daemonUnreachable(const DaemonId &daemon, TimePoint now);

private:
    struct Seen
    {
        LoadReport report;
        TimePoint reportedAt {};
        /// Attempts sent since the report, less those that have ended since.
        int sentSince = 0;
        TimePoint avoidUntil {};
    };

    struct Candidate
    {
        Target target;
        unsigned slots = 1;
        bool cold = false;
        Duration distance {};
        /// Cost of moving one kilobyte of a body there, as waiting time.
        Duration perKilobyte {};
        Seen *seen = nullptr;
    };

    struct SubsetKey
    {
        std::string service;
        std::vector<std::string> homeRegions;

        auto operator<=>(const SubsetKey &) const = default;
    };

    struct Estimate
    {
        /// Until a slot is free and a spell of slow work is over.
        Duration wait {};
        Duration run {};
        /// Expected time and what else makes the choice less desirable.
        Duration cost {};
    };

    using Subset = std::vector<Candidate>;

    const Subset &subsetFor(const CallAttributes &facts);
    Subset buildSubset(const CallAttributes &facts);
    Estimate estimate(const Candidate &candidate, const CallAttributes &facts, TimePoint now);

    Locality m_place;
    Random &m_random;
    std::vector<Member> m_members;
    ConfigurationPtr m_configuration;
    /// Rebuilt on demand after the members or the configuration have changed.
    std::map<SubsetKey, Subset> m_subsets;
    /// Subsets point to its values, which stay in place when others are added.
    std::unordered_map<DaemonId, Seen> m_seen;
};

} // namespace Coltsfootwell
