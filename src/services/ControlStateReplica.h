// A daemon's replica of the control state that operators publish. Applies records from the store,
// answers of other daemons and a configuration file, and answers the requests of other daemons.
#pragma once

#include "decisions/ControlState.h"
#include "kernel/Mailbox.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"
#include "wire/ConfigurationTextCache.h"
#include "wire/ControlFormat.h"

#include <map>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Part of the service "configuration" that holds the control state.
class ControlStateReplica
{
public:
    /// \brief Effect of applying another daemon's answer.
    enum class ApplyResult {
        /// The answer has no configuration, or is not ahead of this replica.
        Ignored,
        /// The configuration in the answer could not be decoded or applied.
        Unusable,
        /// Configuration and availability are unchanged, but the summary has changed.
        SummaryChanged,
        /// The configuration version or the set of data centres out of service has changed.
        Changed,
    };

    /// \param format decodes the operators' records; must outlive this object.
    /// \param dataCentres region of each data centre.
    ControlStateReplica(const ControlFormat &format,
                        std::map<std::string, std::string, std::less<>> dataCentres);

    /// \brief Sets the receiver of log events.
    void attachTelemetry(Address<TelemetryMessage> telemetry)
    {
        m_telemetry = std::move(telemetry);
    }

    /// \brief Applies the newest record of each key.
    /// \param epoch epoch of the store, not earlier than that of the position.
    /// \return true if the control state has changed.
    bool applyNewest(const NewestRecords &newest, StoreEpoch epoch);

    /// \brief Applies the records that follow the position, in the epoch of the position.
    /// \return number of records that have changed the control state.
    unsigned applyRecords(const RecordsRead &read);

    /// \brief Applies a configuration in the daemon's own JSON format.
    /// \param text content of the file.
    /// \return true if the control state has changed.
    bool applyFile(const std::string &text);

    /// \brief Applies the answer of another daemon if it is ahead of this replica.
    ApplyResult applyAnswer(const StateAnswer &answer);

    /// \return the request to send to another daemon.
    StateRequest makeRequest() const;

    /// \param request request of another daemon.
    /// \return the control state, without the configuration text that the other daemon holds.
    StateAnswer answerRequest(const StateRequest &request);

    const ControlState &state() const { return m_state; }
    const StorePosition &position() const { return m_state.position(); }

private:
    bool apply(std::string_view key, const std::optional<std::string> &value,
               std::string_view source, const StorePosition &at);

    const ControlFormat &m_format;
    ControlState m_state;
    ConfigurationTextCache m_textCache;
    /// True if the text of the last newer version could not be decoded or applied; the next request
    /// is then for the full text instead of a difference.
    bool m_needsFullText = false;
    Address<TelemetryMessage> m_telemetry;
};

} // namespace Coltsfootwell
