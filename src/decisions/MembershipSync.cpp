// The part of Membership that compares whole lists of members and exchanges them.
#include "decisions/Membership.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Coltsfootwell {

namespace {

/// Longer news from a sync are not passed on by gossip: with 250 daemons that start together this
/// took 40 s. Others get them in syncs of their own.
constexpr std::size_t MaxSyncGossip = Datagram::MaxRecords;
/// Bits of a summary that hold the level.
constexpr std::uint32_t LevelMask = 7;
/// A sync with less room for its answer is put off.
constexpr std::size_t MinAnswerBytes = 1'000;

/// \return how much is known of the member's end: states in their order, and between a suspicion
/// and the next state the confirmed suspicion.
std::uint32_t levelOf(const MemberRecord &record)
{
    const auto state = static_cast<std::uint32_t>(record.member.state);
    const bool confirmed = record.member.state == MemberState::Suspect
        && record.observers.size() >= Membership::ConfirmingObservers;
    return 2 * state + (confirmed ? 1 : 0);
}

/// \brief Entries of a summary, for a search by identity.
class Summary
{
public:
    explicit Summary(std::vector<std::uint32_t> entries) : m_entries(std::move(entries))
    {
        std::ranges::sort(m_entries);
    }

    /// \return highest level known of the identity in an entry, or nothing.
    std::optional<std::uint32_t> levelOfEntry(std::uint32_t entry) const
    {
        const auto next = std::ranges::upper_bound(m_entries, entry | LevelMask);
        if (next == m_entries.begin() || ((*std::prev(next) ^ entry) & ~LevelMask) != 0) {
            return std::nullopt;
        }
        return *std::prev(next) & LevelMask;
    }

private:
    std::vector<std::uint32_t> m_entries;
};

} // namespace

std::uint32_t summaryOf(const MemberRecord &record, std::uint32_t salt)
{
    const Member &member = record.member;
    std::string rest = std::to_string(member.id.incarnation);
    for (const std::uint64_t number :
         {member.sequence, std::uint64_t(member.endpoint.port), std::uint64_t(salt)}) {
        rest += '/' + std::to_string(number);
    }
    rest += '/' + member.endpoint.address;
    const auto hash = static_cast<std::uint32_t>(rendezvousWeight(member.id.name, rest));
    return (hash & ~LevelMask) | levelOf(record);
}

void Membership::wantDueSync(TimePoint now)
{
    if ((m_synced && m_table.gossipCount() < MassNews) || now < m_nextSync) {
        return;
    }
    const auto with = m_table.pick(m_random, [this](std::size_t i) {
        return i != 0 && m_table.members()[i].state == MemberState::Alive;
    });
    if (with) {
        wantSync(m_table.members()[*with].endpoint, now);
    }
}

void Membership::wantSync(const Endpoint &with, TimePoint now)
{
    if (now < m_nextSync || m_syncBytes < summaryBytes() + MinAnswerBytes) {
        return;
    }
    m_nextSync = now + (m_matched ? Duration(SyncPeriod) : Duration(SeedPeriod));
    m_outputs.emplace_back(StartSync {with});
}

void Membership::compareDigest(std::uint64_t digest, const Endpoint &with, TimePoint now)
{
    m_agreed = digest == m_table.digest();
    m_matched = m_matched || m_agreed;
    if (!m_agreed) {
        wantSync(with, now);
    }
}

std::size_t Membership::summaryBytes() const
{
    return m_table.members().size() * SyncRequest::SummaryEntryBytes;
}

SyncRequest Membership::startSync(TimePoint now)
{
    SyncRequest request {
        m_table.record(0, now), {}, static_cast<std::uint32_t>(m_random.next()), 0};
    for (std::size_t i = 0; i < m_table.members().size(); ++i) {
        request.summary.push_back(summaryOf(m_table.record(i, now), request.salt));
    }
    spendSync(summaryBytes());
    request.maxBytes = static_cast<std::uint32_t>(m_syncBytes);
    return request;
}

Membership::Outputs Membership::handleSyncRequest(const SyncRequest &request, SyncAnswer &answer,
                                                  TimePoint now)
{
    m_outputs.clear();
    learn(request.from, now);
    const Summary theirs(request.summary);
    std::size_t room = std::min<std::size_t>(m_syncBytes, request.maxBytes);
    const std::size_t n = m_table.members().size();
    // Askers that get only a part of the same list get different parts.
    const std::size_t first = m_random.below(n);
    for (std::size_t i = 0; i < n && !answer.partial; ++i) {
        const std::size_t index = (first + i) % n;
        MemberRecord record = m_table.record(index, now);
        const std::uint32_t entry = summaryOf(record, request.salt);
        const auto known = theirs.levelOfEntry(entry);
        if (known && *known >= (entry & LevelMask)) {
            continue;
        }
        if (known) {
            record = m_table.newsOf(index, now);
        }
        const std::size_t bytes = encodedBound(record);
        answer.partial = bytes > room;
        if (!answer.partial) {
            room -= bytes;
            spendSync(bytes);
            answer.records.push_back(std::move(record));
        }
    }
    return m_outputs;
}

Membership::Outputs Membership::handleSyncAnswer(std::span<const MemberRecord> records,
                                                 TimePoint now, bool partial)
{
    m_outputs.clear();
    for (const MemberRecord &record : records) {
        spendSync(encodedBound(record));
    }
    learnFromSync(records, now);
    ++m_counts.syncs;
    m_synced = m_synced || !partial;
    m_joined = true;
    return m_outputs;
}

void Membership::spendSync(std::size_t bytes)
{
    m_syncBytes -= std::min(bytes, m_syncBytes);
}

void Membership::learnFromSync(std::span<const MemberRecord> records, TimePoint now)
{
    const auto isNews = [this](const MemberRecord &record) {
        const auto known = m_table.find(record.member.id.name);
        return !known || supersedes(record.member, m_table.members()[*known]);
    };
    const bool passOn
        = std::ranges::count_if(records, isNews) <= static_cast<std::ptrdiff_t>(MaxSyncGossip);
    for (const MemberRecord &record : records) {
        learn(record, now, passOn);
    }
}

} // namespace Coltsfootwell
