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

/// Home regions come from callers, so the number of cached subsets is bounded.
constexpr std::size_t MaxSubsets = 1000;

/// Round trips by distance.
constexpr Duration InDataCentre = microseconds(500);
constexpr Duration InRegion = milliseconds(3);
constexpr Duration Elsewhere = milliseconds(62);
/// Bytes between data centres are paid for, and those between regions share a narrow link; one
/// kilobyte weighs as much as this much waiting.
constexpr Duration PerKilobyteInRegion = milliseconds(3);
constexpr Duration PerKilobyteElsewhere = milliseconds(8);
/// Weight of missing the objective, more than moving any usual body.
constexpr Duration LateCost = seconds(1);
/// Kilobytes assumed for the headers and the answer, whose lengths are not known when a call is
/// placed.
constexpr std::uint64_t AssumedKilobytes = 8;

/// Work waits for the end of a slow spell, so that it is not expected to take longer than this
/// beyond its usual time.
constexpr Duration MaxSlowDelay = milliseconds(400);
/// Age at which a report of slowness counts half.
constexpr std::chrono::duration<double, std::milli> SlownessHalfLife {400};
/// A nested call at a server that has answered none yet is expected to take at most this share of
/// the time until its objective. Other calls of its service may take much longer.
constexpr double NestedShare = 0.25;
/// Waiting time that a failed attempt costs.
constexpr Duration FailureCost = milliseconds(500);
/// Work of a cold server takes this many times as long.
constexpr int ColdFactor = 2;
/// Servers slow down when more than this share of their slots is in use.
constexpr double CrowdedShare = 0.75;
/// Slow-down of a server whose slots are all in use.
constexpr double CrowdedSlowdown = 0.7;
/// Cost of a full server that is otherwise as good as an empty one.
constexpr Duration OccupancyCost = milliseconds(8);
/// Choices that differ by less than this are made at random, so that senders do not follow the same
/// report to the same server.
constexpr Duration TieMargin = microseconds(1000);
/// An attempt may wait this much longer than expected before it is placed anew.
constexpr Duration WaitMargin = milliseconds(25);

/// \return time of one answer at usual speed.
Duration typicalAnswerTime(const LoadReport &report, const CallAttributes &facts, TimePoint now)
{
    if (facts.nested && report.nestedMicros > 0) {
        return microseconds(report.nestedMicros);
    }
    const Duration usual = report.answerMicros > 0 ? Duration(microseconds(report.answerMicros))
                                                   : Duration(Placement::AssumedAnswer);
    return facts.nested ? std::min(usual, scaled(facts.objective - now, NestedShare)) : usual;
}

} // namespace

Placement::Placement(Locality place, Random &random) : m_place(std::move(place)), m_random(random)
{
}

void Placement::membersChanged(std::span<const Member> members)
{
    m_members.assign(members.begin(), members.end());
    m_subsets.clear();
    std::unordered_set<DaemonId> known;
    for (const Member &member : m_members) {
        known.insert(member.id);
    }
    std::erase_if(m_seen, [&known](const auto &item) { return !known.contains(item.first); });
}

void Placement::configurationChanged(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_subsets.clear();
}

Placement::Choice Placement::pick(const CallAttributes &facts, std::span<const DaemonId> excluded,
                                  TimePoint now)
{
    if (!m_configuration) {
        return Reason::StaleConfiguration;
    }
    const Subset &subset = subsetFor(facts);
    const Candidate *best = nullptr;
    Estimate bestEstimate;
    std::uint64_t ties = 0;
    bool alternative = false;
    for (const Candidate &candidate : subset) {
        const bool left = std::ranges::find(excluded, candidate.target.daemon) == excluded.end();
        if (!left || now < candidate.seen->avoidUntil) {
            continue;
        }
        const Estimate found = estimate(candidate, facts, now);
        alternative = alternative || best;
        if (!best || found.cost + TieMargin < bestEstimate.cost) {
            best = &candidate;
            bestEstimate = found;
            ties = 1;
        } else if (found.cost < bestEstimate.cost + TieMargin && m_random.below(++ties) == 0) {
            best = &candidate;
            bestEstimate = found;
        }
    }
    if (!best) {
        return subset.empty() ? Reason::NoBackendServer : Reason::Overloaded;
    }
    const Duration expected = best->distance + bestEstimate.wait + bestEstimate.run;
    if (now + expected > facts.deadline && alternative) {
        return Reason::Overloaded;
    }
    const TimePoint inTime = facts.objective - best->distance / 2 - bestEstimate.run;
    const TimePoint last = facts.deadline - best->distance / 2 - bestEstimate.run;
    TimePoint startBy = inTime > now + bestEstimate.wait ? inTime : last;
    if (alternative) {
        startBy = std::min(startBy, now + best->distance + bestEstimate.wait + WaitMargin);
    }
    return PlacedAttempt {best->target, expected, startBy};
}

void Placement::attemptSent(const DaemonId &daemon)
{
    ++m_seen[daemon].sentSince;
}

void Placement::attemptEnded(const DaemonId &daemon, bool, TimePoint)
{
    if (const auto it = m_seen.find(daemon); it != m_seen.end()) {
        --it->second.sentSince;
    }
}

void Placement::loadReported(const DaemonId &daemon, const LoadReport &report, TimePoint now)
{
    Seen &seen = m_seen[daemon];
    seen.report = report;
    seen.reportedAt = now;
    seen.sentSince = 0;
}

void Placement::daemonUnreachable(const DaemonId &daemon, TimePoint now)
{
    m_seen[daemon].avoidUntil = now + UnreachableTime;
}

const Placement::Subset &Placement::subsetFor(const CallAttributes &facts)
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

Placement::Subset Placement::buildSubset(const CallAttributes &facts)
{
    Subset subset;
    for (const Member *member :
         chooseSubset(m_place, facts.service, facts.homeRegions, m_members, *m_configuration)) {
        Candidate candidate;
        candidate.target = {member->id, member->endpoint, member->region};
        candidate.slots = std::max(1U, member->slots);
        candidate.cold = member->backend == BackendState::Cold;
        if (member->region != m_place.region) {
            candidate.distance = Elsewhere;
            candidate.perKilobyte = PerKilobyteElsewhere;
        } else if (member->dataCentre != m_place.dataCentre) {
            candidate.distance = InRegion;
            candidate.perKilobyte = PerKilobyteInRegion;
        } else {
            candidate.distance = member->id == m_place.self ? Duration() : InDataCentre;
        }
        candidate.seen = &m_seen[member->id];
        subset.push_back(std::move(candidate));
    }
    return subset;
}

Placement::Estimate Placement::estimate(const Candidate &candidate, const CallAttributes &facts,
                                        TimePoint now)
{
    const Seen &seen = *candidate.seen;
    const LoadReport &report = seen.report;
    const bool reported = seen.reportedAt != TimePoint();
    const std::chrono::duration<double, std::milli> age = now - seen.reportedAt;
    const double slowness = 1
        + (std::max(100U, report.slownessPercent) / 100.0 - 1) * std::exp2(-age / SlownessHalfLife);
    const Duration usual = typicalAnswerTime(report, facts, now);
    const unsigned limit = reported && report.limit > 0 ? report.limit : candidate.slots;
    const unsigned reserved = facts.nested ? 0 : std::min(report.reserved, limit - 1);
    const unsigned slots = limit - reserved;
    // Nested calls overtake what waits.
    const double waiting = facts.nested ? 0 : report.waiting;
    const double load = std::max(0.0, report.inUse + waiting + static_cast<double>(seen.sentSince));
    const double share = (load + 1) / slots;
    const double crowding
        = 1 + CrowdedSlowdown * std::clamp((share - CrowdedShare) / (1 - CrowdedShare), 0.0, 1.0);
    const bool cold = reported ? report.state == BackendState::Cold : candidate.cold;

    Estimate found;
    found.run = scaled(usual, crowding) * (cold ? ColdFactor : 1);
    found.wait = std::min(scaled(usual, slowness - 1), MaxSlowDelay);
    if (load >= slots) {
        found.wait += scaled(found.run, (load - slots + 1) / slots);
    }
    const Duration expected = candidate.distance + found.wait + found.run;
    found.cost = expected + candidate.perKilobyte * (AssumedKilobytes + facts.bodyBytes / 1024)
        + scaled(FailureCost, report.failurePercent / 100.0)
        + scaled(OccupancyCost, std::min(1.0, share));
    if (!facts.nested && now + expected > facts.objective) {
        found.cost += LateCost;
    }
    return found;
}

} // namespace Coltsfootwell
