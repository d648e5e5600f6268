// Messages of a full sync. The request has a summary of the requester's member list, and the answer
// only the records that differ. Full lists took 110 KB per request with 1,000 members.
#pragma once

#include "decisions/MemberRecord.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Requests the records that differ from the requester's list.
struct SyncRequest
{
    /// Encoded size of one entry of the summary, in bytes.
    static constexpr std::size_t SummaryEntryBytes = 4;

    /// The requester's own record.
    MemberRecord from;
    /// The summaryEntry() of each member.
    std::vector<std::uint32_t> summary;
    /// Random salt of the hashes in the summary, so that two members whose entries collide have
    /// different entries in the next request. About one list of 1,000 members in a thousand has a
    /// collision.
    std::uint32_t salt = 0;
    /// Maximum encoded size of the records in the answer, in bytes.
    std::uint32_t maxBytes = 0;

    bool operator==(const SyncRequest &) const = default;
};

/// \brief Records that the requester lacks or has in an older state.
struct SyncAnswer
{
    std::vector<MemberRecord> records;
    /// True if further records differ but did not fit into the answer.
    bool partial = false;

    bool operator==(const SyncAnswer &) const = default;
};

/// \return entry of a record in a summary: a hash of the name, incarnation, sequence, endpoint and
/// salt, with the state, and whether a suspicion is confirmed, in the lowest three bits.
std::uint32_t summaryEntry(const MemberRecord &record, std::uint32_t salt);

} // namespace Coltsfootwell
