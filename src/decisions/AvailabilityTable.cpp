#include "decisions/AvailabilityTable.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

/// \return true if a record comes after the decision of a state on a data centre. A data centre
/// without an entry is in service since the origin of the state.
bool isLater(const StorePosition &record, const AvailabilityState &state,
             const std::string &dataCentre)
{
    const auto it = state.dataCentres.find(dataCentre);
    return it != state.dataCentres.end() ? record > it->second.decidedAt : record >= state.origin;
}

/// Adds a record in the order of the positions; the first ones are dropped if there are too many.
void addRecord(const AvailabilityRecord &record, std::vector<AvailabilityRecord> &records)
{
    const auto it = std::ranges::lower_bound(records, record.at, {}, &AvailabilityRecord::at);
    if (it == records.end() || it->at != record.at) {
        records.insert(it, record);
    }
    if (records.size() > DataCentreAvailability::MaxRecentRecords) {
        records.erase(records.begin());
    }
}

} // namespace

std::uint64_t AvailabilityState::digest() const
{
    std::uint64_t hash = 0;
    // FNV-1a over words of 64 bits.
    const auto mix = [&hash](std::uint64_t value) {
        constexpr std::uint64_t Prime = 0x100000001b3;
        hash = (hash ^ value) * Prime;
    };
    for (const auto &[name, entry] : dataCentres) {
        std::ranges::for_each(name, mix);
        mix(entry.isOut ? 1 : 0);
        mix(entry.decidedAt.offset);
        mix(entry.decidedAt.epoch);
        for (const AvailabilityRecord &record : entry.recentRecords) {
            mix(record.at.offset);
            mix(record.at.epoch);
        }
    }
    return hash;
}

void AvailabilityTable::decide(const std::string &dataCentre, bool isOut, const StorePosition &at)
{
    DataCentreAvailability &entry = m_state.dataCentres[dataCentre];
    entry.isOut = isOut;
    entry.decidedAt = at;
    addRecord({at, isOut}, entry.recentRecords);
}

/// \return true if a record contradicts the decision on its data centre and may be one of the copy
/// that the store has come back from: it was applied before, or it is a removal from a time that
/// this daemon does not know. An unknown record that takes a data centre out counts.
bool AvailabilityTable::isRecordOfCopy(const std::string &dataCentre,
                                       const AvailabilityRecord &record) const
{
    const auto it = m_state.dataCentres.find(dataCentre);
    if (record.at >= m_state.possibleCopyEnd || it == m_state.dataCentres.end()
        || it->second.isOut == record.isOut) {
        return false;
    }
    const auto &recent = it->second.recentRecords;
    const auto isSame = [&record](const AvailabilityRecord &other) {
        return other.at.offset == record.at.offset && other.isOut == record.isOut;
    };
    const bool isOverfull = recent.size() == DataCentreAvailability::MaxRecentRecords;
    const StorePosition &knownSince = isOverfull ? recent.front().at : m_state.origin;
    return std::ranges::any_of(recent, isSame)
        || (!record.isOut && record.at.offset < knownSince.offset);
}

bool AvailabilityTable::applyRecord(const std::string &dataCentre, bool isOut,
                                    const StorePosition &at)
{
    if (hasState()
        && (!isLater(at, m_state, dataCentre) || isRecordOfCopy(dataCentre, {at, isOut}))) {
        return false;
    }
    const auto it = m_state.dataCentres.find(dataCentre);
    if (it != m_state.dataCentres.end() && it->second.isOut == isOut
        && at < m_state.possibleCopyEnd) {
        // A record of the copy that agrees may have been replaced in the copy, so that it is no
        // decision of the present epoch.
        return false;
    }
    const auto before = outOfService();
    decide(dataCentre, isOut, at);
    return outOfService() != before;
}

/// \return true if a data centre is out of service that the store does not list.
bool AvailabilityTable::isUnlisted(std::span<const ListedDataCentre> listed) const
{
    return std::ranges::any_of(m_state.dataCentres, [listed](const auto &entry) {
        return entry.second.isOut
            && std::ranges::find(listed, entry.first, &ListedDataCentre::name) == listed.end();
    });
}

/// Returns data centres to service whose records have been removed in the epoch of the end. Where
/// an earlier epoch has decided, the record may be missing in the copy, so that the decision stays.
void AvailabilityTable::returnUnlisted(std::span<const ListedDataCentre> listed,
                                       const StorePosition &end)
{
    for (auto &[name, entry] : m_state.dataCentres) {
        const bool isListed
            = std::ranges::find(listed, name, &ListedDataCentre::name) != listed.end();
        if (entry.isOut && !isListed && entry.decidedAt.epoch == end.epoch
            && entry.decidedAt < end) {
            decide(name, false, {end.offset - 1, end.epoch});
        }
    }
}

bool AvailabilityTable::applyNewest(std::span<const ListedDataCentre> listed,
                                    const StorePosition &end)
{
    const auto before = outOfService();
    const bool isFirst = !hasState();
    const bool isNewEpoch = !isFirst && end.epoch > m_state.position.epoch;
    m_state.possibleCopyEnd = isNewEpoch ? end : m_state.possibleCopyEnd;
    for (const ListedDataCentre &entry : listed) {
        const StorePosition at {entry.offset, end.epoch};
        if (isFirst
            || (isLater(at, m_state, entry.name) && !isRecordOfCopy(entry.name, {at, true}))) {
            decide(entry.name, true, at);
        }
    }
    if (isFirst) {
        m_state.origin = end;
    } else if (end >= m_state.position) {
        returnUnlisted(listed, end);
    }
    const std::uint64_t repeated
        = isNewEpoch && isUnlisted(listed) ? std::min(end.offset, MaxRepeatedRecords) : 0;
    advancePosition({end.offset - repeated, end.epoch});
    return outOfService() != before;
}

bool AvailabilityTable::merge(const AvailabilityState &other)
{
    const auto before = outOfService();
    if (!hasState()) {
        m_state = other;
    } else if (other.origin.epoch < m_state.origin.epoch) {
        adopt(other);
    } else if (other.origin.epoch == m_state.origin.epoch) {
        for (auto &[name, entry] : m_state.dataCentres) {
            // Without an entry, the data centre is in service at the origin of the other state.
            if (entry.isOut && !other.dataCentres.contains(name)
                && entry.decidedAt < other.origin) {
                entry.isOut = false;
                entry.decidedAt = {other.origin.offset - 1, other.origin.epoch};
            }
        }
        for (const auto &[name, entry] : other.dataCentres) {
            mergeEntry(name, entry);
        }
        if (other.position.epoch > m_state.position.epoch) {
            m_state.possibleCopyEnd = other.possibleCopyEnd;
        }
        m_state.origin = std::max(m_state.origin, other.origin);
        advancePosition(other.position);
    }
    return outOfService() != before;
}

/// Takes over the later decision, and the recent records of both.
void AvailabilityTable::mergeEntry(const std::string &dataCentre,
                                   const DataCentreAvailability &other)
{
    const auto it = m_state.dataCentres.find(dataCentre);
    if (it == m_state.dataCentres.end()) {
        DataCentreAvailability &entry = m_state.dataCentres[dataCentre] = other;
        if (entry.isOut && entry.decidedAt < m_state.origin) {
            entry.isOut = false;
            entry.decidedAt = {m_state.origin.offset - 1, m_state.origin.epoch};
        }
        return;
    }
    DataCentreAvailability &entry = it->second;
    if (other.decidedAt > entry.decidedAt) {
        entry.isOut = other.isOut;
        entry.decidedAt = other.decidedAt;
    }
    for (const AvailabilityRecord &record : other.recentRecords) {
        addRecord(record, entry.recentRecords);
    }
}

/// Takes over the state of a daemon that knew an earlier epoch, and applies to it what this daemon
/// has read, as the other one would have.
void AvailabilityTable::adopt(const AvailabilityState &other)
{
    const AvailabilityState own = std::exchange(m_state, other);
    std::vector<ListedDataCentre> listed;
    for (const auto &[name, entry] : own.dataCentres) {
        if (entry.isOut) {
            listed.push_back({name, entry.decidedAt.offset});
        }
    }
    if (own.position >= m_state.position) {
        applyNewest(listed, own.position);
    }
    for (const auto &[name, entry] : own.dataCentres) {
        if (!entry.isOut && entry.decidedAt >= own.origin
            && isLater(entry.decidedAt, m_state, name)) {
            decide(name, false, entry.decidedAt);
        }
    }
}

void AvailabilityTable::advancePosition(const StorePosition &end)
{
    m_state.position = std::max(m_state.position, end);
}

std::set<std::string> AvailabilityTable::outOfService() const
{
    std::set<std::string> names;
    for (const auto &[name, entry] : m_state.dataCentres) {
        if (entry.isOut) {
            names.insert(name);
        }
    }
    return names;
}

} // namespace Coltsfootwell
