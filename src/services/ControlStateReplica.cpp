#include "services/ControlStateReplica.h"

#include <utility>

namespace Coltsfootwell {

ControlStateReplica::ControlStateReplica(
    const ControlFormat &format, std::map<std::string, std::string, std::less<>> dataCentres)
    : m_format(format), m_state(std::move(dataCentres))
{
}

bool ControlStateReplica::applyNewest(const NewestRecords &newest)
{
    std::set<std::string> outOfService;
    bool changed = false;
    for (const StoreRecord &record : newest.records) {
        const ControlRecord decoded = m_format.decode(record.key, record.value);
        if (const auto *dataCentre = std::get_if<DataCentreAvailabilityChanged>(&decoded)) {
            if (dataCentre->outOfService) {
                outOfService.insert(dataCentre->dataCentre);
            }
        } else {
            changed = apply(record.key, record.value, "store") || changed;
        }
    }
    if (newest.end >= m_state.position()) {
        changed = m_state.replaceOutOfService(std::move(outOfService)) || changed;
    }
    m_state.advancePosition(newest.end);
    return changed;
}

unsigned ControlStateReplica::applyRecords(const RecordsRead &read)
{
    unsigned changes = 0;
    for (const StoreRecord &record : read.records) {
        // The record may already be part of a state received from another daemon.
        if (record.offset >= m_state.position() && apply(record.key, record.value, "store")) {
            ++changes;
        }
    }
    m_state.advancePosition(read.next);
    return changes;
}

bool ControlStateReplica::applyFile(const std::string &text)
{
    return apply(OwnConfigurationKey, text, "file");
}

ControlStateReplica::ApplyResult ControlStateReplica::applyAnswer(const StateAnswer &answer)
{
    if (answer.position <= m_state.position() || answer.version == 0) {
        return ApplyResult::Ignored;
    }
    bool isNewer = false;
    if (answer.version > m_state.version()) {
        const auto text = m_textCache.decodeContent(answer);
        isNewer = text && apply(answer.key, *text, "peer");
        m_needsFullText = !isNewer;
        if (!isNewer || m_state.version() < answer.version) {
            m_telemetry.send(LogEvent {"configuration.unusable", "",
                                       "version=" + std::to_string(answer.version)
                                           + " base=" + std::to_string(answer.base)});
            return ApplyResult::Unusable;
        }
        m_textCache.reuseContent(answer);
    }
    const bool outOfServiceChanged = m_state.replaceOutOfService(answer.outOfService);
    m_state.advancePosition(answer.position);
    return isNewer || outOfServiceChanged ? ApplyResult::Changed : ApplyResult::PositionAdvanced;
}

StateRequest ControlStateReplica::makeRequest() const
{
    return {m_needsFullText ? 0 : m_textCache.newestVersion()};
}

StateAnswer ControlStateReplica::answerRequest(const StateRequest &request)
{
    StateAnswer answer;
    answer.position = m_state.position();
    answer.outOfService = m_state.outOfService();
    m_textCache.fillAnswer(answer, request.heldVersion);
    return answer;
}

/// Decodes and applies one record.
/// \param value text of the record; a configuration is cached for other daemons.
/// \param source "store", "peer" or "file", for the log.
/// \return true if the control state has changed.
bool ControlStateReplica::apply(std::string_view key, const std::optional<std::string> &value,
                                std::string_view source)
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
        return m_state.setOutOfService(outOfService->dataCentre, outOfService->outOfService);
    }
    if (const auto *malformed = std::get_if<MalformedRecord>(&record)) {
        m_telemetry.send(LogEvent {"configuration.malformed", "",
                                   "record=" + std::string(key) + " source=" + std::string(source)
                                       + " " + formatFault(malformed->fault)});
    }
    return false;
}

} // namespace Coltsfootwell
