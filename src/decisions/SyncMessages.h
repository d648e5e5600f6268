// Messages of a full sync: the asker sends a summary of its list, and the answer has only what
// differs. Whole lists took 110 KB a request at 1,000 members.
#pragma once

#include "decisions/MemberRecord.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coltsfootwell {

/// \brief Asks for the records that differ from a list.
struct SyncRequest
{
    /// Encoded size of one entry of the summary, in bytes.
    static constexpr std::size_t SummaryEntryBytes = 4;

    MemberRecord from;
    /// summaryEntry() each known member.
    std::vector<std::uint32_t> summary;
    /// Differs from request to request, so that two members with equal entries, which
    /// happens in one list of 1,000 in about a thousand, are told apart in the next one.
    std::uint32_t salt = 0;
    /// Longest answer, in bytes of its records.
    std::uint32_t maxBytes = 0;

    bool operator==(const SyncRequest &) const = default;
};

/// \brief Records that the asker lacks or has in an older state.
struct SyncAnswer
{
    std::vector<MemberRecord> records;
    /// True when further records differ but did not fit.
    bool partial = false;

    bool operator==(const SyncAnswer &) const = default;
};

/// \return a hash of the record's name, incarnation, sequence and endpoint, with its state and
/// whether a suspicion is confirmed in the lowest three bits, so that these are compared too.
std::uint32_t summaryEntry(const MemberRecord &record, std::uint32_t salt);

} // namespace Coltsfootwell
