#include "services/ControlStateReplica.h"

#include <utility>
#include <vector>

namespace Coltsfootwell {

ControlStateReplica::ControlStateReplica(
    const ControlFormat &format, std::map<std::string, std::string, std::less<>> dataCentres)
    : m_format(format), m_state(std::move(dataCentres))
{
}

bool ControlStateReplica::applyNewest(const NewestRecords &newest, StoreEpoch epoch)
{
    std::vector<ListedDataCentre> outOfService;
    bool changed = false;
    for (const StoreRecord &record : newest.records) {
        const ControlRecord decoded = m_format.decode(record.key, record.value);
        if (const auto *dataCentre = std::get_if<DataCentreAvailabilityChanged>(&decoded)) {
            if (dataCentre->outOfService) {
                outOfService.push_back({dataCentre->dataCentre, record.offset});
            }
        } else {
            changed = apply(record.key, record.value, "store", {record.offset, epoch}) || changed;
        }
    }
    return m_state.availability().applyNewest(outOfService, {newest.end, epoch}) || changed;
}

unsigned ControlStateReplica::applyRecords(const RecordsRead &read)
{
    unsigned changes = 0;
    const StorePosition position = m_state.position();
    for (const StoreRecord &record : read.records) {
        // The record may already be part of a state received from another daemon.
        const StorePosition at {record.offset, position.epoch};
        if (at >= position && apply(record.key, record.value, "store", at)) {
            ++changes;
        }
    }
    m_state.availability().advancePosition({read.next, position.epoch});
    return changes;
}

bool ControlStateReplica::applyFile(const std::string &text)
{
    return apply(OwnConfigurationKey, text, "file", {});
}

ControlStateReplica::ApplyResult ControlStateReplica::applyAnswer(const StateAnswer &answer)
{
    if (answer.version == 0 || !isAhead(answer.summary(), m_state.summary())) {
        return ApplyResult::Ignored;
    }
    bool isNewer = false;
    if (answer.version > m_state.version()) {
        const auto text = m_textCache.decodeContent(answer);
        isNewer = text && apply(answer.key, *text, "peer", {});
        m_needsFullText = !isNewer;
        if (!isNewer || m_state.version() < answer.version) {
            m_telemetry.send(LogEvent {"configuration.unusable", "",
                                       "version=" + std::to_string(answer.version)
                                           + " base=" + std::to_string(answer.base)});
            return ApplyResult::Unusable;
        }
        m_textCache.reuseContent(answer);
    }
    const bool availabilityChanged = m_state.availability().merge(answer.availability);
    return isNewer || availabilityChanged ? ApplyResult::Changed : ApplyResult::SummaryChanged;
}

StateRequest ControlStateReplica::makeRequest() const
{
    return {m_needsFullText ? 0 : m_textCache.newestVersion()};
}

StateAnswer ControlStateReplica::answerRequest(const StateRequest &request)
{
    StateAnswer answer;
    answer.availability = m_state.availability().state();
    m_textCache.fillAnswer(answer, request.heldVersion);
    return answer;
}

/// Decodes and applies one record.
/// \param value text of the record; a configuration is cached for other daemons.
/// \param source "store", "peer" or "file", for the log.
/// \param at position of the record; ignored for a configuration.
/// \return true if the control state has changed.
bool ControlStateReplica::apply(std::string_view key, const std::optional<std::string> &value,
                                std::string_view source, const StorePosition &at)
{
    const ControlFormat &format = key == OwnConfigurationKey ? ownControlFormat() : m_format;
    ControlRecord record = format.decode(key, value);
    if (auto *published = std::get_if<ConfigurationPublished>(&record)) {
        const ConfigurationVersion version = published->configuration->version;
        const bool isNewer = m_state.applyConfiguration(std::move(published->configuration));
        if (isNewer) {
            m_textCache.add(version, key, value.value_or(""));
        } else {
            m_telemetry.send(LogEvent {"configuration.outdated", "",
                                       "version=" + std::to_string(version)
                                           + " inForce=" + std::to_string(m_state.version())});
        }
        return isNewer;
    }
    if (const auto *outOfService = std::get_if<DataCentreAvailabilityChanged>(&record)) {
        return m_state.availability().applyRecord(outOfService->dataCentre,
                                                  outOfService->outOfService, at);
    }
    if (const auto *malformed = std::get_if<MalformedRecord>(&record)) {
        m_telemetry.send(LogEvent {"configuration.malformed", "",
                                   "record=" + std::string(key) + " source=" + std::string(source)
                                       + " " + formatFault(malformed->fault)});
    }
    return false;
}

} // namespace Coltsfootwell
