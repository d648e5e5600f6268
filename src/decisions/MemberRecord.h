// What daemons tell each other of a member, and the order in which records replace each other.
//
// The order is total within one daemon's records, so that merging in any order and any number of
// times gives the same result everywhere.
#pragma once

#include "decisions/Member.h"
#include "kernel/Time.h"

#include <vector>

namespace Coltsfootwell {

/// \brief A member as one daemon sees it.
struct MemberRecord
{
    /// Observers named in a record; two are enough to confirm a suspicion.
    static constexpr std::size_t MaxObservers = 3;

    Member member;
    /// Names of daemons whose own pings the member has not answered, sorted.
    std::vector<std::string> observers;
    /// Time since the member became unreachable or left.
    Duration downFor {};

    bool operator==(const MemberRecord &) const = default;
};

/// \return true for members that are neither alive nor suspect.
bool isDown(const Member &member);

/// \brief Compares by incarnation, leaving, sequence, state and endpoint.
///
/// Leaving goes before the sequence, so that it takes precedence over a suspicion. The endpoint
/// only decides between two processes that were given the same incarnation.
/// \return true when the first record replaces the second; both have the same name.
bool supersedes(const Member &first, const Member &second);

/// \brief Applies the rules that hold for every record: a leaving member is never suspect and is
/// gone, not unreachable, when it no longer answers.
/// \param record as received or made.
MemberRecord normalised(MemberRecord record);

/// \param first a normalised record.
/// \param second a normalised record of the same name.
/// \return the record that replaces both; observers of the same state are united.
MemberRecord merged(const MemberRecord &first, const MemberRecord &second);

} // namespace Coltsfootwell
