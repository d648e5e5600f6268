// Anti-entropy of Membership: comparison of digests and full syncs.
#include "decisions/Membership.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Coltsfootwell {

namespace {

/// Maximum number of new records from a sync that are gossiped. Larger numbers reach other members
/// through their own syncs: with gossip of all records, 250 daemons that started together took 40 s
/// to find each other.
constexpr std::size_t MaxSyncRecordsToGossip = Datagram::MaxRecords;
/// Bits of a summary entry that hold the level.
constexpr std::uint32_t LevelMask = 7;
/// Minimum budget for the answer; a sync is deferred when less is left.
constexpr std::size_t MinSyncAnswerBytes = 1'000;

/// \return level of the evidence that the member is down: the states in their order, with a
/// confirmed suspicion between a suspicion and the next state.
std::uint32_t evidenceLevel(const MemberRecord &record)
{
    const auto state = static_cast<std::uint32_t>(record.member.state);
    const bool confirmed = record.member.state == MemberState::Suspect
        && record.observers.size() >= Membership::RequiredObservers;
    return 2 * state + (confirmed ? 1 : 0);
}

/// \brief Index of the entries of a summary by member identity.
class SummaryIndex
{
public:
    explicit SummaryIndex(std::vector<std::uint32_t> entries) : m_entries(std::move(entries))
    {
        std::ranges::sort(m_entries);
    }

    /// \return highest level of the identity in an entry; empty if the summary lacks it.
    std::optional<std::uint32_t> findLevel(std::uint32_t entry) const
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

std::uint32_t summaryEntry(const MemberRecord &record, std::uint32_t salt)
{
    const Member &member = record.member;
    std::string rest = std::to_string(member.id.incarnation);
    for (const std::uint64_t number :
         {member.sequence, std::uint64_t(member.endpoint.port), std::uint64_t(salt)}) {
        rest += '/' + std::to_string(number);
    }
    rest += '/' + member.endpoint.address;
    const auto hash = static_cast<std::uint32_t>(rendezvousWeight(member.id.name, rest));
    return (hash & ~LevelMask) | evidenceLevel(record);
}

void Membership::startDueSync(TimePoint now)
{
    if ((m_initialSyncDone && m_table.pendingGossipCount() < SyncBacklogThreshold)
        || now < m_nextSync) {
        return;
    }
    const auto peer = m_table.pickRandom(m_random, [this](std::size_t i) {
        return i != 0 && m_table.members()[i].state == MemberState::Alive;
    });
    if (peer) {
        requestSync(m_table.members()[*peer].endpoint, now);
    }
}

void Membership::requestSync(const Endpoint &peer, TimePoint now)
{
    if (now < m_nextSync || m_syncBudgetBytes < summaryBytes() + MinSyncAnswerBytes) {
        return;
    }
    m_nextSync
        = now + (m_digestsEverMatched ? Duration(MinSyncInterval) : Duration(SeedPingInterval));
    m_outputs.emplace_back(StartSync {peer});
}

void Membership::compareDigest(std::uint64_t digest, const Endpoint &peer, TimePoint now)
{
    m_digestsMatch = digest == m_table.digest();
    m_digestsEverMatched = m_digestsEverMatched || m_digestsMatch;
    if (!m_digestsMatch) {
        requestSync(peer, now);
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
        request.summary.push_back(summaryEntry(m_table.record(i, now), request.salt));
    }
    consumeSyncBudget(summaryBytes());
    request.maxBytes = static_cast<std::uint32_t>(m_syncBudgetBytes);
    return request;
}

Membership::Outputs Membership::handleSyncRequest(const SyncRequest &request, SyncAnswer &answer,
                                                  TimePoint now)
{
    m_outputs.clear();
    applyRecord(request.from, now);
    const SummaryIndex requesterSummary(request.summary);
    std::size_t remainingBytes = std::min<std::size_t>(m_syncBudgetBytes, request.maxBytes);
    const std::size_t n = m_table.members().size();
    // A random start, so that requesters with partial answers get different parts of the list.
    const std::size_t first = m_random.below(n);
    for (std::size_t i = 0; i < n && !answer.partial; ++i) {
        const std::size_t index = (first + i) % n;
        MemberRecord record = m_table.record(index, now);
        const std::uint32_t entry = summaryEntry(record, request.salt);
        const auto requesterLevel = requesterSummary.findLevel(entry);
        if (requesterLevel && *requesterLevel >= (entry & LevelMask)) {
            continue;
        }
        if (requesterLevel) {
            record = m_table.gossipRecord(index, now);
        }
        const std::size_t bytes = maxEncodedBytes(record);
        answer.partial = bytes > remainingBytes;
        if (!answer.partial) {
            remainingBytes -= bytes;
            consumeSyncBudget(bytes);
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
        consumeSyncBudget(maxEncodedBytes(record));
    }
    applySyncRecords(records, now);
    ++m_counts.syncs;
    m_initialSyncDone = m_initialSyncDone || !partial;
    m_joined = true;
    return m_outputs;
}

void Membership::consumeSyncBudget(std::size_t bytes)
{
    m_syncBudgetBytes -= std::min(bytes, m_syncBudgetBytes);
}

void Membership::applySyncRecords(std::span<const MemberRecord> records, TimePoint now)
{
    const auto isNewer = [this](const MemberRecord &record) {
        const auto listed = m_table.find(record.member.id.name);
        return !listed || supersedes(record.member, m_table.members()[*listed]);
    };
    const bool propagate = std::ranges::count_if(records, isNewer)
        <= static_cast<std::ptrdiff_t>(MaxSyncRecordsToGossip);
    for (const MemberRecord &record : records) {
        applyRecord(record, now, propagate);
    }
}

} // namespace Coltsfootwell
