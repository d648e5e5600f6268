#include "decisions/MemberTable.h"

#include "decisions/Datagram.h"
#include "decisions/Rendezvous.h"

#include <bit>
#include <utility>

namespace Coltsfootwell {

namespace {

/// An epidemic reaches all members after a number of rounds that grows with the logarithm of their
/// number. With half as many transmissions and one datagram in ten lost, a refutation came too
/// late for one member in 32.
constexpr unsigned TransmissionsPerDoubling = 2;
/// Random tries before a scan; with half of the members wanted, a scan follows once in 65,536.
constexpr unsigned PickTries = 16;
/// Tags, lengths and numbers of an encoded record.
constexpr std::size_t RecordOverheadBytes = 61;
constexpr std::size_t BriefOverheadBytes = 38;
constexpr std::size_t ObserverOverheadBytes = 2;

std::uint64_t digestOf(const Member &member)
{
    const std::string numbers
        = std::to_string(member.id.incarnation) + '/' + std::to_string(member.sequence);
    return rendezvousWeight(member.id.name, numbers);
}

} // namespace

MemberTable::MemberTable(Member self)
{
    add({std::move(self), {}, {}, false}, {}, true);
}

void MemberTable::replaceSelf(Member self)
{
    replace(0, self);
    enqueue(0, 0);
}

bool MemberTable::merge(const MemberRecord &record, TimePoint now, bool passOn)
{
    if (isDown(record.member) && record.downFor >= DownRetention) {
        return false;
    }
    const std::optional<std::size_t> index = find(record.member.id.name);
    if (!index) {
        add(record, now, passOn);
        return true;
    }
    const Member &known = m_members[*index];
    const bool newer = supersedes(record.member, known);
    if (!newer && supersedes(known, record.member)) {
        return false;
    }
    Entry &entry = m_entries[*index];
    const MemberRecord result = merged(record, {known, entry.observers, {}, false});
    if (!newer && result.observers == entry.observers) {
        return false;
    }
    entry.observers = result.observers;
    if (newer) {
        replace(*index, record.member);
        entry.since = now - record.downFor;
    }
    if (passOn) {
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
    return {m_members[index], entry.observers, down ? now - entry.since : Duration(), false};
}

MemberRecord MemberTable::newsOf(std::size_t index, TimePoint now) const
{
    MemberRecord news = record(index, now);
    const MemberState state = news.member.state;
    news.brief = state == MemberState::Suspect || state == MemberState::Unreachable;
    return news;
}

std::optional<MemberRecord> MemberTable::completed(const MemberRecord &record) const
{
    if (!record.brief) {
        return record;
    }
    const std::optional<std::size_t> index = find(record.member.id.name);
    if (!index || m_members[*index].id != record.member.id
        || m_members[*index].sequence != record.member.sequence) {
        return std::nullopt;
    }
    MemberRecord whole = record;
    whole.brief = false;
    whole.member = m_members[*index];
    whole.member.state = record.member.state;
    return whole;
}

const std::vector<std::string> &MemberTable::observers(std::size_t index) const
{
    return m_entries[index].observers;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].state == MemberState::Suspect) {
            m_entries[i].since = now;
        }
    }
}

void MemberTable::expire(TimePoint now)
{
    for (std::size_t i = m_members.size() - 1; i > 0; --i) {
        if (isDown(m_members[i]) && now - m_entries[i].since >= DownRetention) {
            forget(i);
        }
    }
}

std::optional<std::size_t> MemberTable::pick(Random &random,
                                             const std::function<bool(std::size_t)> &wanted) const
{
    const std::size_t n = m_members.size();
    for (unsigned i = 0; i < PickTries; ++i) {
        if (const std::size_t index = random.below(n); wanted(index)) {
            return index;
        }
    }
    const std::size_t first = random.below(n);
    for (std::size_t i = 0; i < n; ++i) {
        if (const std::size_t index = (first + i) % n; wanted(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t MemberTable::takeGossip(std::size_t bytes, std::vector<MemberRecord> &records,
                                    TimePoint now)
{
    std::vector<std::pair<std::size_t, unsigned>> taken;
    std::size_t used = 0;
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        MemberRecord next = newsOf(it->second, now);
        const std::size_t size = encodedBound(next);
        if (records.size() == Datagram::MaxRecords || used + size > bytes) {
            break;
        }
        used += size;
        records.push_back(std::move(next));
        taken.emplace_back(it->second, it->first.first + 1);
    }
    for (const auto &[index, sent] : taken) {
        if (sent < maxTransmissions()) {
            enqueue(index, sent);
        } else {
            dequeue(index);
        }
    }
    return used;
}

void MemberTable::add(const MemberRecord &record, TimePoint now, bool passOn)
{
    const std::size_t index = m_members.size();
    m_members.push_back(record.member);
    m_entries.push_back({record.observers, now - record.downFor, {}});
    m_index.emplace(record.member.id.name, index);
    countIn(record.member);
    ++m_revision;
    if (passOn) {
        enqueue(index, 0);
    }
}

void MemberTable::replace(std::size_t index, const Member &member)
{
    Member &known = m_members[index];
    countOut(known);
    Member sameSequence = member;
    sameSequence.sequence = known.sequence;
    m_revision += sameSequence == known ? 0 : 1;
    known = member;
    countIn(known);
}

void MemberTable::enqueue(std::size_t index, unsigned sent)
{
    dequeue(index);
    const QueueKey key {sent, ++m_lastSerial};
    m_entries[index].queued = key;
    m_queue.emplace(key, index);
}

void MemberTable::dequeue(std::size_t index)
{
    if (const auto key = std::exchange(m_entries[index].queued, std::nullopt)) {
        m_queue.erase(*key);
    }
}

void MemberTable::forget(std::size_t index)
{
    dequeue(index);
    countOut(m_members[index]);
    m_index.erase(m_members[index].id.name);
    if (const std::size_t last = m_members.size() - 1; index != last) {
        m_members[index] = std::move(m_members[last]);
        m_entries[index] = std::move(m_entries[last]);
        m_index[m_members[index].id.name] = index;
        if (m_entries[index].queued) {
            m_queue[*m_entries[index].queued] = index;
        }
    }
    m_members.pop_back();
    m_entries.pop_back();
    ++m_revision;
}

void MemberTable::countIn(const Member &member)
{
    m_aliveCount += member.state == MemberState::Alive ? 1 : 0;
    // Exclusive or is its own inverse and does not depend on the order of members.
    m_digest ^= isDown(member) ? 0 : digestOf(member);
}

void MemberTable::countOut(const Member &member)
{
    m_aliveCount -= member.state == MemberState::Alive ? 1 : 0;
    m_digest ^= isDown(member) ? 0 : digestOf(member);
}

unsigned MemberTable::maxTransmissions() const
{
    return TransmissionsPerDoubling * static_cast<unsigned>(std::bit_width(m_members.size()));
}

std::size_t encodedBound(const MemberRecord &record)
{
    const Member &member = record.member;
    std::size_t bytes
        = (record.brief ? BriefOverheadBytes : RecordOverheadBytes) + member.id.name.size();
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
