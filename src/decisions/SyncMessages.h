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
    static constexpr std::size_t SummaryEntryBytes = 8;

    MemberRecord from;
    /// summaryOf() each known member.
    std::vector<std::uint64_t> known;
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

/// \return a hash of the member's name, incarnation, sequence and endpoint, with the state in the
/// lowest two bits, so that the state of a record can be compared too.
std::uint64_t summaryOf(const Member &member);

} // namespace Coltsfootwell
