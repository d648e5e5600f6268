// Which data centres operators have taken out of service, as one daemon knows it.
//
// Load pattern and failure: the store comes back from an older copy. The copy may lack the record
// that took a data centre out of service, or still have one that operators have removed since.
// Neither counts until operators have written again, so each entry remembers the record that has
// decided it, and a daemon that knew an earlier epoch of the store decides for those that did not.
#pragma once

#include "decisions/StorePosition.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief An operators' record that takes a data centre out of service or returns it.
struct AvailabilityRecord
{
    StorePosition at;
    bool isOut = false;

    bool operator==(const AvailabilityRecord &) const = default;
};

/// \brief Whether a data centre is in service, and what has decided it.
struct DataCentreAvailability
{
    /// Maximum number of recent records.
    static constexpr std::size_t MaxRecentRecords = 4;

    bool isOut = false;
    /// Position of the operators' record that has decided it. For a record that was removed unseen,
    /// the last position that it can have had.
    StorePosition decidedAt;
    /// The last records that were applied here or at a daemon that this one got the state from, by
    /// ascending position. A copy may contain them.
    std::vector<AvailabilityRecord> recentRecords;

    bool operator==(const DataCentreAvailability &) const = default;
};

/// \brief Availability of all data centres up to a position; data centres without an entry are in
/// service since the origin.
struct AvailabilityState
{
    /// Offset of the next record to apply, with its epoch; the default value if there is no state.
    StorePosition position;
    /// Position at which this state was first read from the store, by this daemon or by the one
    /// that it got the state from.
    StorePosition origin;
    /// End of the topic at the first read in the epoch of the position, if the state is of an
    /// earlier origin. Records before it may belong to the copy that the store has come back from.
    StorePosition possibleCopyEnd;
    /// Entries by the name of the data centre.
    std::map<std::string, DataCentreAvailability, std::less<>> dataCentres;

    /// \return hash of the entries, which is equal at daemons that have decided alike.
    std::uint64_t digest() const;

    bool operator==(const AvailabilityState &) const = default;
};

/// \brief Newest record of a data centre that is out of service according to the store.
struct ListedDataCentre
{
    std::string name;
    /// Offset of the record.
    std::uint64_t offset = 0;
};

/// \brief One daemon's knowledge of the availability of data centres.
class AvailabilityTable
{
public:
    /// Maximum number of records before the end that are read again in a new epoch. Operators may
    /// have written them between the return of the store and the first read.
    static constexpr std::uint64_t MaxRepeatedRecords = 8;

    /// \brief Applies a record of the history.
    /// \param isOut true if the record takes the data centre out of service.
    /// \param at position of the record; records before the last decision are ignored.
    /// \return true if the data centre has left or entered service.
    bool applyRecord(const std::string &dataCentre, bool isOut, const StorePosition &at);

    /// \brief Applies the newest records of all data centres and advances the position. In a new
    /// epoch, the position is before the end if the last records have to be read as well, since the
    /// newest ones do not tell whether a missing record was lost or removed.
    /// \param listed data centres that are out of service according to the store.
    /// \param end end of the topic; earlier epochs must not be passed.
    /// \return true if a data centre has left or entered service.
    bool applyNewest(std::span<const ListedDataCentre> listed, const StorePosition &end);

    /// \brief Merges the state of another daemon. A state that originates in a later epoch is
    /// ignored: it cannot tell the records of the copy from those written since. Daemons that merge
    /// each other's states have the same entries afterwards.
    /// \return true if a data centre has left or entered service.
    bool merge(const AvailabilityState &other);

    /// \brief Advances the position; lower positions are ignored.
    /// \param end position after the last record that was applied.
    void advancePosition(const StorePosition &end);

    const AvailabilityState &state() const { return m_state; }

    /// \return names of the data centres that are out of service.
    std::set<std::string> outOfService() const;

private:
    bool hasState() const { return m_state.position != StorePosition {}; }
    bool isRecordOfCopy(const std::string &dataCentre, const AvailabilityRecord &record) const;
    bool isUnlisted(std::span<const ListedDataCentre> listed) const;
    void decide(const std::string &dataCentre, bool isOut, const StorePosition &at);
    void returnUnlisted(std::span<const ListedDataCentre> listed, const StorePosition &end);
    void mergeEntry(const std::string &dataCentre, const DataCentreAvailability &other);
    void adopt(const AvailabilityState &other);

    AvailabilityState m_state;
};

} // namespace Coltsfootwell
