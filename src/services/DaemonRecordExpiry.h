// Decides which records of daemons in the store belong to hosts that are gone. A living daemon
// renews its record, so that one that does not change for hours has no daemon.
#pragma once

#include "decisions/Member.h"
#include "decisions/StorePosition.h"
#include "kernel/Time.h"
#include "services/StoreClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Watches the offsets of the records over successive reads.
///
/// It relies on no wall clock. A partition between daemons makes no record expire, as long as its
/// daemon reaches the store, and neither does an outage of the store or a pause of this daemon.
class DaemonRecordExpiry
{
public:
    /// Time without a renewal after which a record expires. A daemon that is cut off from the store
    /// for longer renews its record when it reaches the store again.
    static constexpr std::chrono::hours Lifetime {3};
    /// Maximum time between two reads. After a longer one the watch starts anew, since daemons may
    /// not have been able to renew their records.
    static constexpr std::chrono::minutes MaxReadGap {5};
    /// Maximum number of records that expire with one read, which limits the calls to the store.
    static constexpr std::size_t MaxExpired = 16;

    /// \brief Records a complete read.
    /// \param records newest records of all daemons.
    /// \param epoch epoch of the store in the read. When it changes, the watch starts anew, since
    /// a renewed record may have the offset of one that the store has lost.
    /// \param members all members; the record of one that is not down never expires.
    /// \return names of the daemons whose records have expired.
    std::vector<std::string> recordsRead(std::span<const StoreRecord> records, StoreEpoch epoch,
                                         std::span<const Member> members, TimePoint now);

private:
    struct Observation
    {
        std::uint64_t offset = 0;
        /// Time of the first read with this offset.
        TimePoint since {};
    };

    std::map<std::string, Observation> m_observations;
    TimePoint m_lastReadAt {};
    std::optional<StoreEpoch> m_lastEpoch;
};

} // namespace Coltsfootwell
