#include "decisions/Membership.h"

#include "decisions/StoreReaders.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Maximum encoded size of a datagram without its records.
constexpr std::size_t MaxBodyBytes = 136;
/// Number of members that the daemon notifies of the end of its planned stop.
constexpr std::size_t LeftPings = 8;
/// Maximum number of pending pings for other daemons, which limits the work they can cause. Each is
/// pending for up to ProbeTimeout.
constexpr std::size_t MaxRelayedPings = 64;

} // namespace

Membership::Membership(Member self, std::vector<Endpoint> seeds, Random &random)
    : m_random(random), m_table(std::move(self)), m_configuredSeeds(std::move(seeds)),
      m_seeds(m_configuredSeeds)
{
}

Membership::Outputs Membership::tick(TimePoint now)
{
    m_outputs.clear();
    if (m_replaced) {
        return m_outputs;
    }
    if (!m_started) {
        // A random phase prevents daemons that start together from sending at the same times.
        const auto phase = std::chrono::milliseconds(m_random.below(PingInterval.count()));
        m_started = now;
        m_nextPing = now + phase;
        m_nextDigest = now
            + std::chrono::duration_cast<Duration>(InitialDigestInterval * m_random.uniform());
    } else if (now - m_lastTick > PauseThreshold) {
        resetAfterPause(now);
    }
    refillBudgets(now - m_lastTick);
    m_lastTick = now;
    expireProbes(now);
    confirmSuspicions(now);
    m_joined = m_joined || now - *m_started >= JoinTimeout;
    pingMembers(now);
    pingSeeds(now);
    startDueSync(now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryInterval;
        m_table.evictExpired(now);
    }
    return m_outputs;
}

Membership::Outputs Membership::handle(const Datagram &datagram, const Endpoint &sender,
                                       TimePoint now)
{
    m_outputs.clear();
    if (m_replaced) {
        return m_outputs;
    }
    if (m_started && now - m_lastTick > PauseThreshold) {
        // Datagrams received during a pause may be handled before the next tick.
        resetAfterPause(now);
        refillBudgets(now - m_lastTick);
        m_lastTick = now;
    }
    const Member &from = datagram.from.member;
    if (from.id == m_table.self().id && from.endpoint == m_table.self().endpoint) {
        return m_outputs; // The daemon has pinged itself as a seed.
    }
    applyRecord(datagram.from, now);
    for (const MemberRecord &record : datagram.records) {
        consumeGossipBudget(maxEncodedBytes(record));
        applyRecord(record, now);
    }
    if (!m_replaced) {
        std::visit([&](const auto &body) { receive(datagram, body, sender, now); }, datagram.body);
    }
    return m_outputs;
}

void Membership::receive(const Datagram &datagram, const Ping &ping, const Endpoint &sender,
                         TimePoint now)
{
    if (datagram.from.member.state == MemberState::Left) {
        return; // The sender has left and needs no reply.
    }
    Ack ack {ping.nonce, m_state, {}};
    if (ping.digestRequested) {
        ack.digest = m_table.digest();
    }
    if (isAhead(ping.state, m_state)) {
        m_outputs.emplace_back(ControlStateReported {datagram.from.member.id,
                                                     datagram.from.member.endpoint, ping.state});
    }
    // If the list has a newer record of the sender, the sender is suspected or was replaced. The
    // reply then includes that record.
    const auto listed = m_table.find(datagram.from.member.id.name);
    const bool isSenderOutdated
        = listed && supersedes(m_table.members()[*listed], datagram.from.member);
    sendDatagram(sender, ack, isSenderOutdated ? listed : std::nullopt, now);
}

void Membership::receive(const Datagram &datagram, const Ack &ack, const Endpoint &sender,
                         TimePoint now)
{
    const Member &from = datagram.from.member;
    if (const auto it = std::ranges::find(m_relayedPings, ack.nonce, &RelayedPing::nonce);
        it != m_relayedPings.end()) {
        if (it->target == from.id.name) {
            sendDatagram(it->origin, IndirectAck {it->originNonce, it->target},
                         m_table.find(it->target), now);
        }
        m_relayedPings.erase(it);
        return;
    }
    const auto it = std::ranges::find(m_probes, ack.nonce, &Probe::nonce);
    if (it == m_probes.end() || (!it->target.empty() && it->target != from.id.name)) {
        return;
    }
    ++m_counts.acks;
    m_probes.erase(it);
    m_outputs.emplace_back(ControlStateReported {from.id, from.endpoint, ack.state});
    if (ack.digest) {
        compareDigest(*ack.digest, from.endpoint, now);
    }
}

void Membership::receive(const Datagram &datagram, const IndirectPing &ping, const Endpoint &sender,
                         TimePoint now)
{
    if (m_relayedPings.size() >= MaxRelayedPings) {
        return;
    }
    const std::optional<std::size_t> target = m_table.find(ping.target);
    const std::uint64_t nonce = m_random.next();
    m_relayedPings.push_back({nonce, ping.target, sender, ping.nonce, now});
    ++m_counts.pings;
    sendDatagram(target ? m_table.members()[*target].endpoint : ping.endpoint,
                 Ping {nonce, false, m_state}, target, now);
}

void Membership::receive(const Datagram &datagram, const IndirectAck &ack, const Endpoint &sender,
                         TimePoint now)
{
    const auto it = std::ranges::find(m_probes, ack.nonce, &Probe::nonce);
    if (it != m_probes.end() && it->target == ack.target) {
        m_probes.erase(it);
    }
}

void Membership::applyRecord(const MemberRecord &received, TimePoint now, bool propagate)
{
    const std::optional<MemberRecord> expanded = m_table.expandBrief(received);
    if (!expanded) {
        return;
    }
    MemberRecord record = normalized(*expanded);
    if (record.member.id.name == m_table.self().id.name) {
        handleOwnRecord(record.member, now);
        return;
    }
    const std::size_t required = std::min(RequiredObservers, m_table.aliveCount());
    if (record.member.state == MemberState::Unreachable && record.observers.size() < required) {
        // An isolated daemon needs no observer but itself to declare members unreachable; other
        // daemons treat these members as suspect.
        record.member.state = MemberState::Suspect;
        record = normalized(std::move(record));
    }
    m_table.merge(record, now, propagate);
}

void Membership::handleOwnRecord(const Member &reported, TimePoint now)
{
    if (m_replaced) {
        return;
    }
    Member self = m_table.self();
    const bool isDuplicate = reported.id == self.id && reported.endpoint != self.endpoint
        && (!m_joined || reported.endpoint > self.endpoint);
    if (reported.id.incarnation > self.id.incarnation || isDuplicate) {
        if (m_joined && !isPredecessor(reported, now)) {
            m_replaced = true;
        } else {
            self.id.incarnation = reported.id.incarnation + 1;
            self.sequence = 0;
            m_table.replaceSelf(self);
        }
        m_conflicted = true;
        m_outputs.emplace_back(IncarnationConflict {reported.id.incarnation, m_replaced});
        return;
    }
    const bool contradictsSelf
        = reported.state != MemberState::Alive || reported.sequence > self.sequence;
    if (reported.id == self.id && contradictsSelf && self.state != MemberState::Left
        && supersedes(reported, self)) {
        ++m_counts.refutations;
        self.sequence = std::max(self.sequence, reported.sequence);
        updateSelf(std::move(self));
        pingRandomMembers(RefutationPings, now, [](const Member &) { return true; });
    }
}

bool Membership::isPredecessor(const Member &reported, TimePoint now) const
{
    return reported.endpoint == m_table.self().endpoint && !m_wasPaused
        && now - *m_started < MemberTable::DownRetention;
}

void Membership::updateSelf(Member self)
{
    ++self.sequence;
    m_table.replaceSelf(std::move(self));
}

void Membership::resetAfterPause(TimePoint now)
{
    m_wasPaused = true;
    m_probes.clear();
    m_relayedPings.clear();
    m_table.restartSuspicions(now);
}

void Membership::refillBudgets(Duration elapsed)
{
    const double seconds = std::min(std::chrono::duration<double>(elapsed).count(), 1.0);
    m_gossipBudgetBytes
        = std::min(m_gossipBudgetBytes + static_cast<std::size_t>(GossipBytesPerSecond * seconds),
                   MaxGossipBudgetBytes);
    const auto syncBytes = static_cast<std::size_t>(SyncBytesPerSecond * seconds);
    m_syncBudgetBytes = std::min(m_syncBudgetBytes + syncBytes,
                                 m_initialSyncDone ? MaxSyncBudgetBytes : InitialSyncBudgetBytes);
}

void Membership::consumeGossipBudget(std::size_t bytes)
{
    m_gossipBudgetBytes -= std::min(bytes, m_gossipBudgetBytes);
}

void Membership::sendDatagram(const Endpoint &to,
                              std::variant<Ping, Ack, IndirectPing, IndirectAck> body,
                              std::optional<std::size_t> subject, TimePoint now)
{
    SendDatagram out {to, {m_table.record(0, now), std::move(body), {}}};
    std::size_t bytes = Datagram::MaxBytes - MaxBodyBytes - maxEncodedBytes(out.datagram.from);
    if (subject && *subject != 0) {
        out.datagram.records.push_back(m_table.gossipRecord(*subject, now));
        bytes -= std::min(bytes, maxEncodedBytes(out.datagram.records.back()));
    }
    bytes = std::min(bytes, m_gossipBudgetBytes);
    m_gossipBudgetBytes -= m_table.takeGossip(bytes, out.datagram.records, now);
    m_outputs.emplace_back(std::move(out));
}

void Membership::setBackend(std::string_view service, BackendState state, std::uint32_t slots)
{
    Member self = m_table.self();
    self.service = service;
    self.backend = state;
    self.slots = slots;
    if (self != m_table.self()) {
        updateSelf(std::move(self));
    }
}

Membership::Outputs Membership::setStoreLost(bool lost, TimePoint now)
{
    m_outputs.clear();
    Member self = m_table.self();
    if (m_replaced || std::exchange(self.storeLost, lost) == lost) {
        return m_outputs;
    }
    const std::string dataCentre = self.dataCentre;
    updateSelf(std::move(self));
    for (const Member *candidate : storeReaderCandidates(dataCentre, members())) {
        if (candidate->id.name != m_table.self().id.name) {
            sendDatagram(candidate->endpoint, Ping {m_random.next(), false, m_state}, {}, now);
        }
    }
    return m_outputs;
}

void Membership::leave()
{
    Member self = m_table.self();
    if (!std::exchange(self.leaving, true)) {
        updateSelf(std::move(self));
    }
}

Membership::Outputs Membership::announceLeft(TimePoint now)
{
    m_outputs.clear();
    if (m_conflicted) {
        return m_outputs;
    }
    Member self = m_table.self();
    self.leaving = true;
    self.state = MemberState::Left;
    ++self.sequence;
    m_table.replaceSelf(std::move(self), now);
    pingRandomMembers(LeftPings, now, [](const Member &) { return true; });
    return m_outputs;
}

Membership::Outputs Membership::setControlState(const ControlStateSummary &state, TimePoint now)
{
    m_outputs.clear();
    if (state == m_state || m_replaced) {
        return m_outputs;
    }
    m_state = state;
    const std::string dataCentre = m_table.self().dataCentre;
    pingRandomMembers(LocalUpdatePings, now, [&dataCentre](const Member &member) {
        return member.dataCentre == dataCentre;
    });
    pingRandomMembers(RemoteUpdatePings, now, [&dataCentre](const Member &member) {
        return member.dataCentre != dataCentre;
    });
    return m_outputs;
}

/// Pings up to n random members to send them this daemon's record and control state; their replies
/// are ignored.
void Membership::pingRandomMembers(std::size_t n, TimePoint now,
                                   const std::function<bool(const Member &)> &accepts)
{
    std::vector<std::size_t> pinged;
    while (pinged.size() < n) {
        const auto next = m_table.pickRandom(m_random, [&](std::size_t i) {
            return isPingable(i) && std::ranges::find(pinged, i) == pinged.end()
                && accepts(m_table.members()[i]);
        });
        if (!next) {
            return;
        }
        pinged.push_back(*next);
        sendDatagram(m_table.members()[*next].endpoint, Ping {m_random.next(), false, m_state}, {},
                     now);
    }
}

void Membership::seedsDiscovered(std::span<const Endpoint> seeds)
{
    m_seeds = m_configuredSeeds;
    for (const Endpoint &seed : seeds.first(std::min(seeds.size(), MaxSeeds))) {
        if (std::ranges::find(m_configuredSeeds, seed) == m_configuredSeeds.end()) {
            m_seeds.push_back(seed);
        }
    }
    m_nextSeed = 0;
    m_lastSeedPing.reset();
}

} // namespace Coltsfootwell
