// Records about members as daemons exchange them, and the rules for merging them.
//
// Records of the same member are totally ordered, so that all daemons reach the same result when
// they merge the same records in any order and any number of times.
#pragma once

#include "decisions/Member.h"
#include "kernel/Time.h"

#include <vector>

namespace Coltsfootwell {

/// \brief The state of a member with the evidence for it.
struct MemberRecord
{
    /// Maximum number of observers in a record. Two confirm a suspicion; each further one would be
    /// gossiped as a change without any effect.
    static constexpr std::size_t MaxObservers = 2;

    Member member;
    /// Sorted names of the daemons whose own pings the member has not answered.
    std::vector<std::string> observers;
    /// Time since the member became unreachable or left; zero while it is neither.
    Duration downFor {};
    /// True if the record has only the fields that failure detection needs: name, incarnation,
    /// sequence, state, observers and downFor. The receiver has the other fields or gets them with
    /// the next full sync.
    bool brief = false;

    bool operator==(const MemberRecord &) const = default;
};

/// \return true if the member is unreachable or has left.
bool isDown(const Member &member);

/// \brief Compares records by incarnation, leaving, sequence, state and endpoint, in this order.
///
/// Leaving precedes the sequence so that it takes precedence over a suspicion. The endpoint only
/// decides between two processes with the same incarnation.
/// \return true if the first record replaces the second; both must have the same name.
bool supersedes(const Member &first, const Member &second);

/// \brief Restores the invariants of a record: a leaving member is never suspect, and it has left
/// instead of being unreachable when it no longer answers; observers are sorted and unique.
/// \param record any record.
MemberRecord normalized(MemberRecord record);

/// \param first a normalized record.
/// \param second a normalized record of the same member.
/// \return the record that replaces both; the observers of equal states are merged.
MemberRecord merged(const MemberRecord &first, const MemberRecord &second);

} // namespace Coltsfootwell
