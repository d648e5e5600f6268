#include "services/ControlStateReplica.h"

#include <utility>

namespace Coltsfootwell {

ControlStateReplica::ControlStateReplica(
    const ControlFormat &format, std::map<std::string, std::string, std::less<>> dataCentres)
    : m_format(format), m_control(std::move(dataCentres))
{
}

bool ControlStateReplica::applyNewest(const NewestRecords &newest)
{
    std::set<std::string> out;
    bool changed = false;
    for (const StoreRecord &record : newest.records) {
        const ControlRecord decoded = m_format.decode(record.key, record.value);
        if (const auto *dataCentre = std::get_if<DataCentreAvailabilityChanged>(&decoded)) {
            if (dataCentre->outOfService) {
                out.insert(dataCentre->dataCentre);
            }
        } else {
            changed = apply(record.key, record.value, "store") || changed;
        }
    }
    if (newest.end >= m_control.position()) {
        changed = m_control.replaceOutOfService(std::move(out)) || changed;
    }
    m_control.advancePosition(newest.end);
    return changed;
}

unsigned ControlStateReplica::applyRecords(const RecordsRead &read)
{
    unsigned changes = 0;
    for (const StoreRecord &record : read.records) {
        // A state that another daemon has told may already hold the record.
        if (record.offset >= m_control.position() && apply(record.key, record.value, "store")) {
            ++changes;
        }
    }
    m_control.advancePosition(read.next);
    return changes;
}

bool ControlStateReplica::applyFile(const std::string &text)
{
    return apply(OwnConfigurationKey, text, "file");
}

ControlStateReplica::ApplyResult ControlStateReplica::applyAnswer(const StateAnswer &answer)
{
    if (answer.position <= m_control.position() || answer.version == 0) {
        return ApplyResult::Nothing;
    }
    bool newer = false;
    if (answer.version > m_control.version()) {
        const auto text = m_texts.decodeContent(answer);
        newer = text && apply(answer.key, *text, "peer");
        m_wantsWhole = !newer;
        if (!newer || m_control.version() < answer.version) {
            m_telemetry.send(LogEvent {"configuration.unusable", "",
                                       "version=" + std::to_string(answer.version)
                                           + " base=" + std::to_string(answer.base)});
            return ApplyResult::Unusable;
        }
        m_texts.reuseContent(answer);
    }
    const bool outChanged = m_control.replaceOutOfService(answer.outOfService);
    m_control.advancePosition(answer.position);
    return newer || outChanged ? ApplyResult::Change : ApplyResult::Position;
}

StateRequest ControlStateReplica::question() const
{
    return {m_wantsWhole ? 0 : m_texts.newestVersion()};
}

StateAnswer ControlStateReplica::answer(const StateRequest &question)
{
    StateAnswer answer;
    answer.position = m_control.position();
    answer.outOfService = m_control.outOfService();
    m_texts.fillAnswer(answer, question.heldVersion);
    return answer;
}

/// \param value text of the record, which is handed on to other daemons.
/// \param source for the log.
bool ControlStateReplica::apply(std::string_view key, const std::optional<std::string> &value,
                                std::string_view source)
{
    const ControlFormat &format = key == OwnConfigurationKey ? ownControlFormat() : m_format;
    ControlRecord record = format.decode(key, value);
    if (auto *published = std::get_if<ConfigurationPublished>(&record)) {
        const ConfigurationVersion version = published->configuration->version;
        const bool newer = m_control.applyConfiguration(std::move(published->configuration));
        if (newer) {
            m_texts.add(version, key, value.value_or(""));
        } else {
            m_telemetry.send(LogEvent {"configuration.outdated", "",
                                       "version=" + std::to_string(version)
                                           + " inForce=" + std::to_string(m_control.version())});
        }
        return newer;
    }
    if (const auto *out = std::get_if<DataCentreAvailabilityChanged>(&record)) {
        return m_control.setOutOfService(out->dataCentre, out->outOfService);
    }
    if (const auto *malformed = std::get_if<MalformedRecord>(&record)) {
        m_telemetry.send(LogEvent {"configuration.malformed", "",
                                   "record=" + std::string(key) + " source=" + std::string(source)
                                       + " " + faultLine(malformed->fault)});
    }
    return false;
}

} // namespace Coltsfootwell
