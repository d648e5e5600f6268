// Failure detection of Membership: pings, indirect pings and suspicions.
#include "decisions/Membership.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Number of members up to which the suspicion timeout is BaseSuspicionTimeout.
constexpr double MinSuspicionMembers = 10.0;

} // namespace

void Membership::pingMembers(TimePoint now)
{
    if (now < m_nextPing) {
        return;
    }
    m_nextPing = std::max(m_nextPing + PingInterval, now);
    const bool digestRequested = now >= m_nextDigest;
    const auto live = m_table.pickRandom(m_random, [this, digestRequested](std::size_t i) {
        // A suspect member is unlikely to reply with its digest.
        return isPingable(i)
            && (!digestRequested || m_table.members()[i].state == MemberState::Alive);
    });
    if (live) {
        pingMember(*live, digestRequested, now);
        if (digestRequested) {
            m_nextDigest = now
                + (!m_digestsEverMatched ? InitialDigestInterval
                       : m_digestsMatch  ? DigestInterval
                                         : MinSyncInterval);
        }
    }
    if (now < m_nextUnreachablePing) {
        return;
    }
    m_nextUnreachablePing = now + UnreachablePingInterval;
    const auto lost = m_table.pickRandom(m_random, [this](std::size_t i) {
        return m_table.members()[i].state == MemberState::Unreachable;
    });
    if (lost) {
        pingMember(*lost, false, now);
    }
}

void Membership::pingSeeds(TimePoint now)
{
    const auto others = m_table.members().subspan(1);
    const auto isLive = [](const Member &member) { return !isDown(member); };
    const bool isIsolated = std::ranges::none_of(others, isLive);
    Duration interval = SeedReconnectInterval;
    if (isIsolated) {
        interval = m_nextSeed == 0 ? Duration(SeedPingInterval) : Duration(SeedBatchInterval);
    }
    if (m_seeds.empty() || m_table.self().state == MemberState::Left
        || (m_lastSeedPing && now - *m_lastSeedPing < interval)) {
        return;
    }
    m_lastSeedPing = now;
    std::set<Endpoint> excluded {m_table.self().endpoint};
    for (const Member &member : others) {
        if (isLive(member)) {
            excluded.insert(member.endpoint);
        }
    }
    for (std::size_t pinged = 0; pinged < MaxSeedPings && m_nextSeed < m_seeds.size();
         ++m_nextSeed) {
        if (!excluded.contains(m_seeds[m_nextSeed])) {
            pingSeed(m_seeds[m_nextSeed], now);
            ++pinged;
        }
    }
    if (m_nextSeed == m_seeds.size()) {
        m_nextSeed = 0;
    }
}

void Membership::pingSeed(const Endpoint &seed, TimePoint now)
{
    m_probes.push_back({m_random.next(), {}, now, false});
    ++m_counts.pings;
    sendDatagram(seed, Ping {m_probes.back().nonce, false, m_state}, {}, now);
}

void Membership::expireProbes(TimePoint now)
{
    std::vector<std::string> unresponsive;
    for (Probe &probe : m_probes) {
        if (!probe.indirect && now - probe.sent >= DirectPingTimeout) {
            probe.indirect = true;
            sendIndirectPings(probe, now);
        }
        if (now - probe.sent >= ProbeTimeout && !probe.target.empty()) {
            unresponsive.push_back(probe.target);
        }
    }
    const auto isExpired = [now](const auto &entry) { return now - entry.sent >= ProbeTimeout; };
    std::erase_if(m_probes, isExpired);
    std::erase_if(m_relayedPings, isExpired);
    for (const std::string &name : unresponsive) {
        suspect(name, now);
    }
}

void Membership::sendIndirectPings(const Probe &probe, TimePoint now)
{
    const std::optional<std::size_t> target = m_table.find(probe.target);
    if (!target || isDown(m_table.members()[*target])) {
        return;
    }
    std::vector<std::size_t> chosen {*target};
    while (chosen.size() <= MaxIndirectPings) {
        const auto helper = m_table.pickRandom(m_random, [&](std::size_t i) {
            return i != 0 && m_table.members()[i].state == MemberState::Alive
                && std::ranges::find(chosen, i) == chosen.end();
        });
        if (!helper) {
            return;
        }
        chosen.push_back(*helper);
        sendDatagram(m_table.members()[*helper].endpoint,
                     IndirectPing {probe.nonce, probe.target, m_table.members()[*target].endpoint},
                     target, now);
    }
}

void Membership::suspect(const std::string &name, TimePoint now)
{
    const std::optional<std::size_t> index = m_table.find(name);
    if (!index || isDown(m_table.members()[*index])) {
        return;
    }
    MemberRecord record = m_table.record(*index, now);
    if (record.member.leaving) {
        // The member has announced its planned stop itself. It can still refute while it finishes.
        record.member.state = MemberState::Left;
    } else {
        m_counts.suspicions += record.member.state == MemberState::Alive ? 1 : 0;
        record.member.state = MemberState::Suspect;
        record.observers.push_back(m_table.self().id.name);
    }
    const Endpoint endpoint = record.member.endpoint;
    m_table.merge(normalized(std::move(record)), now);
    // A live member refutes earlier when it is notified directly instead of by gossip.
    sendDatagram(endpoint, Ping {m_random.next(), false, m_state}, index, now);
}

void Membership::confirmSuspicions(TimePoint now)
{
    const Duration timeout = suspicionTimeout();
    for (std::size_t i = 1; i < m_table.members().size(); ++i) {
        if (m_table.members()[i].state != MemberState::Suspect
            || now - m_table.stateSince(i) < timeout) {
            continue;
        }
        const std::size_t required = std::min(RequiredObservers, m_table.aliveCount());
        if (m_table.observers(i).size() >= required) {
            MemberRecord record = m_table.record(i, now);
            record.member.state = MemberState::Unreachable;
            ++m_counts.unreachable;
            // Not gossiped: other members decide the same from the confirmed suspicion.
            m_table.merge(normalized(std::move(record)), now, false);
        }
    }
}

void Membership::pingMember(std::size_t index, bool digestRequested, TimePoint now)
{
    const Member &target = m_table.members()[index];
    const std::uint64_t nonce = m_random.next();
    m_probes.push_back({nonce, target.id.name, now, false});
    ++m_counts.pings;
    // Includes the suspicion in the ping so that the target can refute it.
    const bool isSuspected = target.state != MemberState::Alive;
    sendDatagram(target.endpoint, Ping {nonce, digestRequested, m_state},
                 isSuspected ? std::optional(index) : std::nullopt, now);
}

bool Membership::isPingable(std::size_t index) const
{
    return index != 0 && !isDown(m_table.members()[index]);
}

Duration Membership::suspicionTimeout() const
{
    const double members
        = std::max(static_cast<double>(m_table.members().size()), MinSuspicionMembers);
    return std::chrono::duration_cast<Duration>(BaseSuspicionTimeout * std::log10(members));
}

} // namespace Coltsfootwell
