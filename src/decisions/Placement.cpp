#include "decisions/Placement.h"

#include "decisions/RoutingSubset.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace Coltsfootwell {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum number of cached subsets; needed because callers supply the home regions.
constexpr std::size_t MaxSubsets = 1000;

/// Round-trip time to a server in the same data centre, in the same region, and in another region.
constexpr Duration DataCentreRoundTrip = microseconds(500);
constexpr Duration RegionRoundTrip = milliseconds(3);
constexpr Duration InterRegionRoundTrip = milliseconds(62);
/// Cost of transferring one kilobyte, expressed as waiting time: traffic between data centres is
/// charged for, and traffic between regions shares a narrow link.
constexpr Duration RegionCostPerKilobyte = milliseconds(3);
constexpr Duration InterRegionCostPerKilobyte = milliseconds(8);
/// Penalty for missing the objective; exceeds the transfer cost of a body of typical size.
constexpr Duration LatePenalty = seconds(1);
/// Size assumed for the headers and the answer, which is unknown when a call is placed.
constexpr std::uint64_t AssumedOverheadKilobytes = 8;

/// Maximum delay expected from a transient slowdown: work is deferred until the slowdown ends.
constexpr Duration MaxSlowdownWait = milliseconds(400);
/// Half-life of a slowness report.
constexpr std::chrono::duration<double, std::milli> SlownessHalfLife {400};
/// Maximum expected time of a nested call as a fraction of the time until its objective, if the
/// server has not reported a time for nested calls. Other calls of its service may take much
/// longer.
constexpr double MaxNestedTimeFraction = 0.25;
/// Penalty for a failed attempt, scaled by the failure rate of the server.
constexpr Duration FailurePenalty = milliseconds(500);
/// Factor by which work takes longer on a cold server.
constexpr int ColdSlowdownFactor = 2;
/// Fraction of the slots in use above which servers slow down.
constexpr double OccupancySlowdownThreshold = 0.75;
/// Relative increase of the run time when all slots are in use.
constexpr double FullOccupancySlowdown = 0.7;
/// Penalty for a fully occupied server, so that idle servers are preferred.
constexpr Duration OccupancyPenalty = milliseconds(8);
/// Maximum cost difference at which targets count as equal. Ties are broken at random, so that
/// senders do not all follow the same report to the same server.
constexpr Duration TieMargin = microseconds(1000);
/// Time by which an attempt may wait longer than expected before it is placed again.
constexpr Duration WaitMargin = milliseconds(25);

/// \return expected time of one answer at normal speed.
Duration typicalAnswerTime(const LoadReport &report, const CallAttributes &attributes,
                           TimePoint now)
{
    if (attributes.nested && report.nestedMicros > 0) {
        return microseconds(report.nestedMicros);
    }
    const Duration answerTime = report.answerMicros > 0
        ? Duration(microseconds(report.answerMicros))
        : Duration(Placement::DefaultAnswerTime);
    return attributes.nested
        ? std::min(answerTime, scaled(attributes.objective - now, MaxNestedTimeFraction))
        : answerTime;
}

} // namespace

Placement::Placement(Locality locality, Random &random)
    : m_locality(std::move(locality)), m_random(random)
{
}

void Placement::membersChanged(std::span<const Member> members)
{
    m_members.assign(members.begin(), members.end());
    m_subsets.clear();
    std::unordered_set<DaemonId> present;
    for (const Member &member : m_members) {
        present.insert(member.id);
    }
    std::erase_if(m_trackedDaemons,
                  [&present](const auto &item) { return !present.contains(item.first); });
}

void Placement::configurationChanged(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_subsets.clear();
}

Placement::Choice Placement::pick(const CallAttributes &attributes,
                                  std::span<const DaemonId> excluded, TimePoint now)
{
    if (!m_configuration) {
        return Reason::StaleConfiguration;
    }
    const Subset &subset = subsetFor(attributes);
    const Candidate *best = nullptr;
    Estimate bestEstimate;
    std::uint64_t ties = 0;
    bool hasAlternative = false;
    for (const Candidate &candidate : subset) {
        const bool available
            = std::ranges::find(excluded, candidate.target.daemon) == excluded.end();
        if (!available || candidate.tracked->isClosed(now)) {
            continue;
        }
        const Estimate result = estimate(candidate, attributes, now);
        hasAlternative = hasAlternative || best;
        if (!best || result.cost + TieMargin < bestEstimate.cost) {
            best = &candidate;
            bestEstimate = result;
            ties = 1;
        } else if (result.cost < bestEstimate.cost + TieMargin && m_random.below(++ties) == 0) {
            best = &candidate;
            bestEstimate = result;
        }
    }
    if (!best) {
        return subset.empty() ? Reason::NoBackendServer : Reason::Overloaded;
    }
    const Duration expected = best->roundTrip + bestEstimate.wait + bestEstimate.run;
    if (now + expected > attributes.deadline && hasAlternative) {
        return Reason::Overloaded;
    }
    const TimePoint latestStartForObjective
        = attributes.objective - best->roundTrip / 2 - bestEstimate.run;
    const TimePoint latestStartForDeadline
        = attributes.deadline - best->roundTrip / 2 - bestEstimate.run;
    TimePoint startBy = latestStartForObjective > now + bestEstimate.wait ? latestStartForObjective
                                                                          : latestStartForDeadline;
    if (hasAlternative) {
        startBy = std::min(startBy, now + best->roundTrip + bestEstimate.wait + WaitMargin);
    }
    return PlacedAttempt {best->target, expected, startBy};
}

void Placement::attemptSent(const DaemonId &daemon)
{
    ++m_trackedDaemons[daemon].sentSinceReport;
}

void Placement::attemptEnded(const DaemonId &daemon, bool, TimePoint)
{
    if (const auto it = m_trackedDaemons.find(daemon); it != m_trackedDaemons.end()) {
        --it->second.sentSinceReport;
    }
}

void Placement::loadReported(const DaemonId &daemon, const LoadReport &report, TimePoint now)
{
    TrackedDaemon &tracked = m_trackedDaemons[daemon];
    tracked.report = report;
    tracked.reportedAt = now;
    tracked.sentSinceReport = 0;
}

void Placement::daemonUnreachable(const DaemonId &daemon, TimePoint now)
{
    m_trackedDaemons[daemon].avoidUntil = now + UnreachableAvoidTime;
}

bool Placement::TrackedDaemon::isClosed(TimePoint now) const
{
    const bool reported = reportedAt != TimePoint();
    return now < avoidUntil
        || (reported && report.limit == 0 && now - reportedAt < ClosedReportLifetime);
}

const Placement::Subset &Placement::subsetFor(const CallAttributes &attributes)
{
    SubsetKey key {attributes.service, attributes.homeRegions};
    if (const auto it = m_subsets.find(key); it != m_subsets.end()) {
        return it->second;
    }
    if (m_subsets.size() >= MaxSubsets) {
        m_subsets.clear();
    }
    return m_subsets.emplace(std::move(key), buildSubset(attributes)).first->second;
}

Placement::Subset Placement::buildSubset(const CallAttributes &attributes)
{
    Subset subset;
    for (const Member *member : chooseSubset(m_locality, attributes.service, attributes.homeRegions,
                                             m_members, *m_configuration)) {
        Candidate candidate;
        candidate.target = {member->id, member->endpoint, member->region};
        candidate.slots = std::max(1U, member->slots);
        candidate.cold = member->backend == BackendState::Cold;
        if (member->region != m_locality.region) {
            candidate.roundTrip = InterRegionRoundTrip;
            candidate.costPerKilobyte = InterRegionCostPerKilobyte;
        } else if (member->dataCentre != m_locality.dataCentre) {
            candidate.roundTrip = RegionRoundTrip;
            candidate.costPerKilobyte = RegionCostPerKilobyte;
        } else {
            candidate.roundTrip = member->id == m_locality.self ? Duration() : DataCentreRoundTrip;
        }
        candidate.tracked = &m_trackedDaemons[member->id];
        subset.push_back(std::move(candidate));
    }
    return subset;
}

Placement::Estimate Placement::estimate(const Candidate &candidate,
                                        const CallAttributes &attributes, TimePoint now)
{
    const TrackedDaemon &tracked = *candidate.tracked;
    const LoadReport &report = tracked.report;
    const bool reported = tracked.reportedAt != TimePoint();
    const std::chrono::duration<double, std::milli> age = now - tracked.reportedAt;
    const double slowness = 1
        + (std::max(100U, report.slownessPercent) / 100.0 - 1) * std::exp2(-age / SlownessHalfLife);
    const Duration answerTime = typicalAnswerTime(report, attributes, now);
    const unsigned limit = reported && report.limit > 0 ? report.limit : candidate.slots;
    const unsigned reserved = attributes.nested ? 0 : std::min(report.reserved, limit - 1);
    const unsigned slots = limit - reserved;
    // Nested calls overtake queued calls of callers.
    const double waiting = attributes.nested ? 0 : report.waiting;
    const double load
        = std::max(0.0, report.inUse + waiting + static_cast<double>(tracked.sentSinceReport));
    const double occupancy = (load + 1) / slots;
    const double occupancySlowdown = 1
        + FullOccupancySlowdown
            * std::clamp((occupancy - OccupancySlowdownThreshold)
                             / (1 - OccupancySlowdownThreshold),
                         0.0, 1.0);
    const bool cold = reported ? report.state == BackendState::Cold : candidate.cold;

    Estimate result;
    result.run = scaled(answerTime, occupancySlowdown) * (cold ? ColdSlowdownFactor : 1);
    result.wait = std::min(scaled(answerTime, slowness - 1), MaxSlowdownWait);
    if (load >= slots) {
        result.wait += scaled(result.run, (load - slots + 1) / slots);
    }
    const Duration expected = candidate.roundTrip + result.wait + result.run;
    result.cost = expected
        + candidate.costPerKilobyte * (AssumedOverheadKilobytes + attributes.bodyBytes / 1024)
        + scaled(FailurePenalty, report.failurePercent / 100.0)
        + scaled(OccupancyPenalty, std::min(1.0, occupancy));
    if (!attributes.nested && now + expected > attributes.objective) {
        result.cost += LatePenalty;
    }
    return result;
}

} // namespace Coltsfootwell
