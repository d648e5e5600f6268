#include "decisions/MemberTable.h"

#include "decisions/Datagram.h"
#include "decisions/Rendezvous.h"

#include <bit>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Transmissions of a record for each doubling of the number of members: gossip reaches all members
/// within a number of rounds that is logarithmic in their number. With one transmission per
/// doubling and 10% datagram loss, a refutation reached one member in 32 after its suspicion
/// timeout.
constexpr unsigned TransmissionsPerDoubling = 2;
/// Random picks before a linear scan. When half of the members are acceptable, the scan is needed
/// once in 65,536 calls.
constexpr unsigned MaxRandomTries = 16;
/// Maximum encoded size of a full record without its strings: tags, lengths and numbers.
constexpr std::size_t MaxRecordOverheadBytes = 61;
/// Maximum encoded size of a brief record without its strings.
constexpr std::size_t MaxBriefRecordOverheadBytes = 38;
/// Tag and length of one encoded observer.
constexpr std::size_t ObserverOverheadBytes = 2;

std::uint64_t memberDigest(const Member &member)
{
    const std::string numbers
        = std::to_string(member.id.incarnation) + '/' + std::to_string(member.sequence);
    return rendezvousWeight(member.id.name, numbers);
}

} // namespace

MemberTable::MemberTable(Member self)
{
    addMember({std::move(self), {}, {}, false}, {}, true);
}

void MemberTable::replaceSelf(Member self, TimePoint stateSince)
{
    replaceMember(0, self);
    m_entries[0].stateSince = stateSince;
    enqueue(0, 0);
}

bool MemberTable::merge(const MemberRecord &record, TimePoint now, bool propagate)
{
    if (isDown(record.member) && record.downFor >= DownRetention) {
        return false;
    }
    const std::optional<std::size_t> index = find(record.member.id.name);
    if (!index) {
        addMember(record, now, propagate);
        return true;
    }
    const Member &current = m_members[*index];
    const bool isNewer = supersedes(record.member, current);
    if (!isNewer && supersedes(current, record.member)) {
        return false;
    }
    Entry &entry = m_entries[*index];
    const MemberRecord result = merged(record, {current, entry.observers, {}, false});
    if (!isNewer && result.observers == entry.observers) {
        return false;
    }
    entry.observers = result.observers;
    if (isNewer) {
        replaceMember(*index, record.member);
        entry.stateSince = now - record.downFor;
    }
    if (propagate) {
        enqueue(*index, 0);
    } else {
        dequeue(*index);
    }
    return true;
}

std::optional<std::size_t> MemberTable::find(std::string_view name) const
{
    const auto it = m_index.find(name);
    return it == m_index.end() ? std::nullopt : std::optional(it->second);
}

MemberRecord MemberTable::record(std::size_t index, TimePoint now) const
{
    const Entry &entry = m_entries[index];
    const bool down = isDown(m_members[index]);
    return {m_members[index], entry.observers, down ? now - entry.stateSince : Duration(), false};
}

MemberRecord MemberTable::gossipRecord(std::size_t index, TimePoint now) const
{
    MemberRecord gossip = record(index, now);
    const MemberState state = gossip.member.state;
    gossip.brief = state == MemberState::Suspect || state == MemberState::Unreachable;
    return gossip;
}

std::optional<MemberRecord> MemberTable::expandBrief(const MemberRecord &record) const
{
    if (!record.brief) {
        return record;
    }
    const std::optional<std::size_t> index = find(record.member.id.name);
    if (!index || m_members[*index].id != record.member.id
        || m_members[*index].sequence != record.member.sequence) {
        return std::nullopt;
    }
    MemberRecord expanded = record;
    expanded.brief = false;
    expanded.member = m_members[*index];
    expanded.member.state = record.member.state;
    return expanded;
}

const std::vector<std::string> &MemberTable::observers(std::size_t index) const
{
    return m_entries[index].observers;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].state == MemberState::Suspect) {
            m_entries[i].stateSince = now;
        }
    }
}

void MemberTable::evictExpired(TimePoint now)
{
    for (std::size_t i = m_members.size() - 1; i > 0; --i) {
        if (isDown(m_members[i]) && now - m_entries[i].stateSince >= DownRetention) {
            removeMember(i);
        }
    }
}

std::optional<std::size_t> MemberTable::pickRandom(
    Random &random, const std::function<bool(std::size_t)> &accepts) const
{
    const std::size_t n = m_members.size();
    for (unsigned i = 0; i < MaxRandomTries; ++i) {
        if (const std::size_t index = random.below(n); accepts(index)) {
            return index;
        }
    }
    const std::size_t first = random.below(n);
    for (std::size_t i = 0; i < n; ++i) {
        if (const std::size_t index = (first + i) % n; accepts(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t MemberTable::takeGossip(std::size_t bytes, std::vector<MemberRecord> &records,
                                    TimePoint now)
{
    std::vector<std::pair<std::size_t, unsigned>> chosen;
    std::size_t used = 0;
    for (auto it = m_gossipQueue.begin(); it != m_gossipQueue.end(); ++it) {
        MemberRecord next = gossipRecord(it->second, now);
        const std::size_t size = maxEncodedBytes(next);
        if (records.size() == Datagram::MaxRecords || used + size > bytes) {
            break;
        }
        used += size;
        records.push_back(std::move(next));
        chosen.emplace_back(it->second, it->first.first + 1);
    }
    for (const auto &[index, transmissions] : chosen) {
        if (transmissions < maxTransmissions()) {
            enqueue(index, transmissions);
        } else {
            dequeue(index);
        }
    }
    return used;
}

void MemberTable::addMember(const MemberRecord &record, TimePoint now, bool propagate)
{
    const std::size_t index = m_members.size();
    m_members.push_back(record.member);
    m_entries.push_back({record.observers, now - record.downFor, {}});
    m_index.emplace(record.member.id.name, index);
    addToTotals(record.member);
    ++m_revision;
    if (propagate) {
        enqueue(index, 0);
    }
}

void MemberTable::replaceMember(std::size_t index, const Member &member)
{
    Member &current = m_members[index];
    removeFromTotals(current);
    Member sameSequence = member;
    sameSequence.sequence = current.sequence;
    m_revision += sameSequence == current ? 0 : 1;
    current = member;
    addToTotals(current);
}

void MemberTable::enqueue(std::size_t index, unsigned transmissions)
{
    dequeue(index);
    const GossipKey key {transmissions, ++m_lastSerial};
    m_entries[index].queueKey = key;
    m_gossipQueue.emplace(key, index);
}

void MemberTable::dequeue(std::size_t index)
{
    if (const auto key = std::exchange(m_entries[index].queueKey, std::nullopt)) {
        m_gossipQueue.erase(*key);
    }
}

void MemberTable::removeMember(std::size_t index)
{
    dequeue(index);
    removeFromTotals(m_members[index]);
    m_index.erase(m_members[index].id.name);
    if (const std::size_t last = m_members.size() - 1; index != last) {
        m_members[index] = std::move(m_members[last]);
        m_entries[index] = std::move(m_entries[last]);
        m_index[m_members[index].id.name] = index;
        if (m_entries[index].queueKey) {
            m_gossipQueue[*m_entries[index].queueKey] = index;
        }
    }
    m_members.pop_back();
    m_entries.pop_back();
    ++m_revision;
}

void MemberTable::addToTotals(const Member &member)
{
    m_aliveCount += member.state == MemberState::Alive ? 1 : 0;
    // Exclusive or is its own inverse and independent of the order of the members.
    m_digest ^= isDown(member) ? 0 : memberDigest(member);
}

void MemberTable::removeFromTotals(const Member &member)
{
    m_aliveCount -= member.state == MemberState::Alive ? 1 : 0;
    m_digest ^= isDown(member) ? 0 : memberDigest(member);
}

unsigned MemberTable::maxTransmissions() const
{
    return TransmissionsPerDoubling * static_cast<unsigned>(std::bit_width(m_members.size()));
}

std::size_t maxEncodedBytes(const MemberRecord &record)
{
    const Member &member = record.member;
    std::size_t bytes = (record.brief ? MaxBriefRecordOverheadBytes : MaxRecordOverheadBytes)
        + member.id.name.size();
    if (!record.brief) {
        bytes += member.endpoint.address.size() + member.region.size() + member.dataCentre.size()
            + member.service.size();
    }
    for (const std::string &observer : record.observers) {
        bytes += ObserverOverheadBytes + observer.size();
    }
    return bytes;
}

} // namespace Coltsfootwell
