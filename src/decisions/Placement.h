// Chooses the backend server for an attempt by the expected completion time.
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

/// \brief A chosen target and the expected timing of the attempt.
struct PlacedAttempt
{
    Target target;
    /// Expected time until the answer arrives.
    Duration expected {};
    /// Latest useful start at the server; afterwards the attempt should be placed again.
    TimePoint startBy;
};

/// \brief Selects targets based on the last reported load of each daemon's backend server.
///
/// At any time a quarter of the servers can be several times slower for about half a second, and it
/// is a different quarter each time, so an average of past answers is almost always wrong. The
/// choice therefore depends on the newest load report, the attempts sent since then, and the
/// network distance.
class Placement
{
public:
    using Choice = std::variant<PlacedAttempt, Reason>;

    /// Assumed time of one answer of a server that has not reported one.
    static constexpr std::chrono::milliseconds DefaultAnswerTime {50};
    /// Time for which a daemon is avoided after it could not be reached.
    static constexpr std::chrono::milliseconds UnreachableAvoidTime {500};
    /// Time for which a daemon is avoided after it has reported that it accepts no runs. It tells
    /// only recent senders when it accepts runs again.
    static constexpr std::chrono::seconds ClosedReportLifetime {1};

    /// \param locality location of this daemon.
    /// \param random breaks ties between equal targets; must outlive the object.
    Placement(Locality locality, Random &random);

    /// \param members all members, including unreachable ones.
    void membersChanged(std::span<const Member> members);

    /// \param configuration the active version.
    void configurationChanged(ConfigurationPtr configuration);

    /// \brief Chooses the target with the lowest cost.
    /// \param attributes the call.
    /// \param excluded daemons that have refused the call.
    /// \return the best target, or the reason why there is none.
    Choice pick(const CallAttributes &attributes, std::span<const DaemonId> excluded,
                TimePoint now);

    /// \brief Counts an attempt that was sent to a daemon.
    void attemptSent(const DaemonId &daemon);

    /// \brief Removes a completed attempt from the count of its daemon.
    /// \param answered false if the attempt was refused or its answer was lost.
    void attemptEnded(const DaemonId &daemon, bool answered, TimePoint now);

    /// \brief Replaces the load report of a daemon's backend server.
    void loadReported(const DaemonId &daemon, const LoadReport &report, TimePoint now);

    /// \brief Avoids a daemon for UnreachableAvoidTime.
    void daemonUnreachable(const DaemonId &daemon, TimePoint now);

private:
    struct TrackedDaemon
    {
        LoadReport report;
        TimePoint reportedAt {};
        /// Attempts sent since the last report, less the attempts that have ended since then.
        int sentSinceReport = 0;
        TimePoint avoidUntil {};

        /// \return true if the daemon is known to accept no runs, or to be unreachable.
        bool isClosed(TimePoint now) const;
    };

    struct Candidate
    {
        Target target;
        unsigned slots = 1;
        bool cold = false;
        Duration roundTrip {};
        /// Cost of transferring one kilobyte to the server, expressed as waiting time.
        Duration costPerKilobyte {};
        TrackedDaemon *tracked = nullptr;
    };

    struct SubsetKey
    {
        std::string service;
        std::vector<std::string> homeRegions;

        auto operator<=>(const SubsetKey &) const = default;
    };

    struct Estimate
    {
        /// Expected wait for a free slot and for the end of a transient slowdown.
        Duration wait {};
        Duration run {};
        /// Expected time plus penalties, such as for transfers, failures and lateness.
        Duration cost {};
    };

    using Subset = std::vector<Candidate>;

    const Subset &subsetFor(const CallAttributes &attributes);
    Subset buildSubset(const CallAttributes &attributes);
    Estimate estimate(const Candidate &candidate, const CallAttributes &attributes, TimePoint now);

    Locality m_locality;
    Random &m_random;
    std::vector<Member> m_members;
    ConfigurationPtr m_configuration;
    /// Cache, cleared when the members or the configuration change.
    std::map<SubsetKey, Subset> m_subsets;
    /// Subsets hold pointers to its values, which remain valid when elements are added.
    std::unordered_map<DaemonId, TrackedDaemon> m_trackedDaemons;
};

} // namespace Coltsfootwell
