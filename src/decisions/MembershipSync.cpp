// The part of Membership that compares whole lists of members and exchanges them.
#include "decisions/Membership.h"

#include <algorithm>
#include <map>

namespace Coltsfootwell {

namespace {

/// Comparisons of digests in a row that differ before a sync is made although news still spread.
constexpr unsigned MaxMismatches = 3;
/// Longer news from a sync are not passed on by gossip: with 250 daemons that start together this
/// took 40 s. Others get them in syncs of their own.
constexpr std::size_t MaxSyncGossip = Datagram::MaxRecords;

} // namespace

void Membership::wantFirstSync(TimePoint now)
{
    if (m_synced || now < m_nextSync) {
        return;
    }
    const auto with = m_table.pick(m_random, [this](std::size_t i) { return isPingable(i); });
    if (with) {
        m_nextSync = now + SeedPeriod;
        m_outputs.emplace_back(SyncWanted {m_table.members()[*with].endpoint});
    }
}

void Membership::compareDigest(std::uint64_t digest, const Endpoint &with)
{
    if (digest == m_table.digest()) {
        m_mismatches = 0;
        m_matched = true;
        return;
    }
    // While news spread the lists differ for a moment, which gossip settles at a lower cost.
    if (!m_matched || !m_table.hasGossip() || ++m_mismatches >= MaxMismatches) {
        m_mismatches = 0;
        m_outputs.emplace_back(SyncWanted {with});
    }
}

std::vector<MemberRecord> Membership::allRecords(TimePoint now) const
{
    std::vector<MemberRecord> records;
    for (std::size_t i = 0; i < m_table.members().size(); ++i) {
        records.push_back(m_table.record(i, now));
    }
    return records;
}

Membership::Outputs Membership::answerSync(std::span<const MemberRecord> records,
                                           std::vector<MemberRecord> &missing, TimePoint now)
{
    m_outputs.clear();
    std::map<std::string_view, const Member *> theirs;
    for (const MemberRecord &record : records) {
        theirs.emplace(record.member.id.name, &record.member);
    }
    for (MemberRecord &record : allRecords(now)) {
        const auto it = theirs.find(record.member.id.name);
        if (it == theirs.end() || supersedes(record.member, *it->second)) {
            missing.push_back(std::move(record));
        }
    }
    learnFromSync(records, now);
    return m_outputs;
}

Membership::Outputs Membership::finishSync(std::span<const MemberRecord> records, TimePoint now)
{
    m_outputs.clear();
    learnFromSync(records, now);
    ++m_counts.syncs;
    m_synced = true;
    m_joined = true;
    return m_outputs;
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
