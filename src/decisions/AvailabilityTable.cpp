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

} // namespace

void AvailabilityTable::decide(const std::string &dataCentre, bool isOut, const StorePosition &at)
{
    DataCentreAvailability &entry = m_state.dataCentres[dataCentre];
    entry.isOut = isOut;
    entry.decidedAt = at;
    const AvailabilityRecord record {at.offset, isOut};
    if (entry.recentRecords.empty() || entry.recentRecords.back() != record) {
        entry.recentRecords.push_back(record);
    }
    if (entry.recentRecords.size() > DataCentreAvailability::MaxRecentRecords) {
        entry.recentRecords.erase(entry.recentRecords.begin());
    }
    m_state.lastDecision = std::max(m_state.lastDecision, at);
}

/// \return true if a record contradicts the decision on its data centre and was applied before, so
/// that it is one of the copy that the store has come back from.
bool AvailabilityTable::isCopy(const std::string &dataCentre, bool isOut,
                               const StorePosition &at) const
{
    const auto it = m_state.dataCentres.find(dataCentre);
    if (at >= m_state.possibleCopyEnd || it == m_state.dataCentres.end()
        || it->second.isOut == isOut) {
        return false;
    }
    const auto &recent = it->second.recentRecords;
    return std::ranges::find(recent, AvailabilityRecord {at.offset, isOut}) != recent.end();
}

bool AvailabilityTable::applyRecord(const std::string &dataCentre, bool isOut,
                                    const StorePosition &at)
{
    if (hasState() && (!isLater(at, m_state, dataCentre) || isCopy(dataCentre, isOut, at))) {
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
        if (isFirst || (isLater(at, m_state, entry.name) && !isCopy(entry.name, true, at))) {
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
    if (!hasState() || other.origin.epoch < m_state.origin.epoch) {
        adopt(other);
        return outOfService() != before;
    }
    if (other.origin.epoch > m_state.origin.epoch) {
        return false;
    }
    for (const auto &[name, entry] : other.dataCentres) {
        if (isLater(entry.decidedAt, m_state, name)) {
            m_state.dataCentres[name] = entry;
        }
    }
    std::erase_if(m_state.dataCentres, [&other](const auto &entry) {
        return !other.dataCentres.contains(entry.first) && entry.second.decidedAt < other.origin;
    });
    if (other.position.epoch > m_state.position.epoch) {
        m_state.possibleCopyEnd = other.possibleCopyEnd;
    }
    m_state.origin = std::max(m_state.origin, other.origin);
    m_state.lastDecision = std::max(m_state.lastDecision, other.lastDecision);
    advancePosition(other.position);
    return outOfService() != before;
}

/// Takes over the state of a daemon that knew an earlier epoch, with its position, so that the
/// records after that position are applied again. Decisions since the own origin stay.
void AvailabilityTable::adopt(AvailabilityState other)
{
    const AvailabilityState own = std::exchange(m_state, std::move(other));
    for (const auto &[name, entry] : own.dataCentres) {
        if (entry.decidedAt >= own.origin && isLater(entry.decidedAt, m_state, name)) {
            m_state.dataCentres[name] = entry;
        }
    }
    m_state.lastDecision = std::max(m_state.lastDecision, own.lastDecision);
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
