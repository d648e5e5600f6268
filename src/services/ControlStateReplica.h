// What a daemon knows of the operators' state, from the store, from other daemons or from a file,
// and what it tells other daemons of it.
#pragma once

#include "decisions/ControlState.h"
#include "kernel/Mailbox.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"
#include "wire/ConfigurationTextCache.h"
#include "wire/ControlFormat.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Part of the service "configuration": takes records over and hands them on.
class ControlStateReplica
{
public:
    /// \brief What an answer of another daemon has brought.
    enum class ApplyResult {
        /// It is older, or says nothing.
        Nothing,
        /// Its content cannot be used here.
        Unusable,
        /// The state is the same up to a later position.
        Position,
        /// A version or the data centres that are out have changed.
        Change,
    };

    /// \param format spelling of the records; outlives this object.
    /// \param dataCentres all data centres and their regions.
    ControlStateReplica(const ControlFormat &format,
                        std::map<std::string, std::string, std::less<>> dataCentres);

    /// \brief Begins to write to the log.
    void start(Address<TelemetryMessage> telemetry) { m_telemetry = std::move(telemetry); }

    /// \brief Takes over the newest record of each key.
    /// \return true when that has changed something.
    bool applyNewest(const NewestRecords &newest);

    /// \brief Takes over what follows the known position.
    /// \return number of records that have changed something.
    unsigned applyRecords(const RecordsRead &read);

    /// \brief Takes over a configuration of the own format.
    /// \return true when that has changed something.
    bool applyFile(const std::string &text);

    /// \brief Takes over what another daemon has answered, but never an older state.
    ApplyResult applyAnswer(const StateAnswer &answer);

    /// \return the question for another daemon.
    StateRequest question() const;

    /// \param question of another daemon.
    /// \return what this daemon knows, as far as the other one lacks it.
    StateAnswer answer(const StateRequest &question);

    const ControlState &control() const { return m_control; }
    std::uint64_t position() const { return m_control.position(); }

private:
    bool apply(std::string_view key, const std::optional<std::string> &value,
               std::string_view source);

    const ControlFormat &m_format;
    ControlState m_control;
    ConfigurationTextCache m_texts;
    /// A content that builds on a held text could not be used.
    bool m_wantsWhole = false;
    Address<TelemetryMessage> m_telemetry;
};

} // namespace Coltsfootwell
