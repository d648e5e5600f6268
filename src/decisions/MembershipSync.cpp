// The part of Membership that compares whole lists of members and exchanges them.
#include "decisions/Membership.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Coltsfootwell {

namespace {

/// Comparisons of digests in a row that differ before a sync is made although news still spread.
constexpr unsigned MaxMismatches = 3;
/// Longer news from a sync are not passed on by gossip: with 250 daemons that start together this
/// took 40 s. Others get them in syncs of their own.
constexpr std::size_t MaxSyncGossip = Datagram::MaxRecords;
/// Bits of a summary that hold the state.
constexpr std::uint64_t StateMask = 3;
/// A sync with less room for its answer is put off.
constexpr std::size_t MinAnswerBytes = 1'000;

/// \brief Entries of a summary, for a search by identity.
class Summary
{
public:
    explicit Summary(std::vector<std::uint64_t> entries) : m_entries(std::move(entries))
    {
        std::ranges::sort(m_entries);
    }

    /// \return highest state known of the incarnation and sequence of a member, or nothing.
    std::optional<MemberState> stateOf(const Member &member) const
    {
        const std::uint64_t own = summaryOf(member);
        const auto next = std::ranges::upper_bound(m_entries, own | StateMask);
        if (next == m_entries.begin() || ((*std::prev(next) ^ own) & ~StateMask) != 0) {
            return std::nullopt;
        }
        return static_cast<MemberState>(*std::prev(next) & StateMask);
    }

private:
    std::vector<std::uint64_t> m_entries;
};

} // namespace

std::uint64_t summaryOf(const Member &member)
{
    const std::string rest = std::to_string(member.id.incarnation) + '/'
        + std::to_string(member.sequence) + '/' + member.endpoint.address + '/'
        + std::to_string(member.endpoint.port);
    return (rendezvousWeight(member.id.name, rest) & ~StateMask)
        | static_cast<std::uint64_t>(member.state);
}

void Membership::wantFirstSync(TimePoint now)
{
    if (m_synced || now < m_nextSync) {
        return;
    }
    const auto with = m_table.pick(m_random, [this](std::size_t i) { return isPingable(i); });
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
    m_outputs.emplace_back(SyncWanted {with});
}

void Membership::compareDigest(std::uint64_t digest, const Endpoint &with, TimePoint now)
{
    if (digest == m_table.digest()) {
        m_mismatches = 0;
        m_matched = true;
        return;
    }
    // While news spread the lists differ for a moment, which gossip settles at a lower cost.
    if (!m_matched || !m_table.hasGossip() || ++m_mismatches >= MaxMismatches) {
        m_mismatches = 0;
        wantSync(with, now);
    }
}

std::size_t Membership::summaryBytes() const
{
    return m_table.members().size() * SyncRequest::SummaryEntryBytes;
}

SyncRequest Membership::askSync(TimePoint now)
{
    SyncRequest request {m_table.record(0, now), {}, 0};
    for (const Member &member : m_table.members()) {
        request.known.push_back(summaryOf(member));
    }
    spendSync(summaryBytes());
    request.maxBytes = static_cast<std::uint32_t>(m_syncBytes);
    return request;
}

Membership::Outputs Membership::answerSync(const SyncRequest &request, SyncAnswer &answer,
                                           TimePoint now)
{
    m_outputs.clear();
    learn(request.from, now);
    const Summary theirs(request.known);
    std::size_t room = std::min<std::size_t>(m_syncBytes, request.maxBytes);
    const std::size_t n = m_table.members().size();
    // Askers that get only a part of the same list get different parts.
    const std::size_t first = m_random.below(n);
    for (std::size_t i = 0; i < n && !answer.partial; ++i) {
        const std::size_t index = (first + i) % n;
        const auto known = theirs.stateOf(m_table.members()[index]);
        if (known && *known >= m_table.members()[index].state) {
            continue;
        }
        MemberRecord record = known ? m_table.newsOf(index, now) : m_table.record(index, now);
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

Membership::Outputs Membership::finishSync(std::span<const MemberRecord> records, TimePoint now,
                                           bool partial)
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
