// The active configuration of a daemon. Notifies the other services of each change, and reports to
// the log and the metrics where it came from and how long its propagation took.
#pragma once

#include "decisions/ControlState.h"
#include "services/ConfigurationMessages.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"

#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief Where a control state was received from, for the log.
struct ConfigurationSource
{
    /// "store", "peer" or "file".
    std::string_view kind;
    TransferStats transfer;
    /// Number of versions in the same answer that were replaced by later ones.
    unsigned superseded = 0;
};

/// \brief Part of the service "configuration" that publishes the configuration to other services.
class ActiveConfiguration
{
public:
    using Filter = void (*)(Configuration &);

    /// \param filter modifies each configuration before its activation; null for none.
    explicit ActiveConfiguration(Filter filter) : m_filter(filter) { }

    /// \brief Sets the receiver of log events and metrics.
    void attachTelemetry(Address<TelemetryMessage> telemetry)
    {
        m_telemetry = std::move(telemetry);
    }

    /// \brief Sends the active configuration and all later changes to an address.
    void subscribe(const Address<ConfigurationChanged> &subscriber);

    /// \brief Activates the configuration of a control state and notifies the subscribers.
    /// \param state control state of this daemon.
    /// \param source where the state was received from.
    /// \param delay time since another daemon first reported a later position; without such a
    /// report, the time that the body of the store's answer took.
    void activate(const ControlState &state, const ConfigurationSource &source, Duration delay);

    /// \return the active configuration; null before the first version.
    const ConfigurationPtr &configuration() const { return m_configuration; }

private:
    ConfigurationPtr filtered(ConfigurationPtr configuration) const;

    Filter m_filter;
    ConfigurationPtr m_configuration;
    std::vector<Address<ConfigurationChanged>> m_subscribers;
    Address<TelemetryMessage> m_telemetry;
};

} // namespace Coltsfootwell
