// The configuration in force at one daemon: the other services hear of each change of it, and the
// log and the metrics say where it came from and how long it took.
#pragma once

#include "decisions/ControlState.h"
#include "services/ConfigurationMessages.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"

#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief Where a state came from, for the log.
struct ConfigurationSource
{
    /// "store", "peer" or "file".
    std::string_view source;
    TransferStats transfer;
    /// Versions that came with it and were replaced by later ones.
    unsigned superseded = 0;
};

/// \brief Part of the service "configuration": what the other services are told.
class ActiveConfiguration
{
public:
    using Filter = void (*)(Configuration &);

    /// \param filter changes each configuration before it is in force; null for none.
    explicit ActiveConfiguration(Filter filter) : m_filter(filter) { }

    /// \brief Begins to write to the log.
    void start(Address<TelemetryMessage> telemetry) { m_telemetry = std::move(telemetry); }

    /// \brief Tells an address what is in force now, and all later changes.
    void subscribe(const Address<ConfigurationChanged> &subscriber);

    /// \brief Puts a state in force.
    /// \param waited time since this daemon first heard that there was something newer.
    void publish(const ControlState &state, const ConfigurationSource &origin, Duration waited);

    /// \return what is in force; null before the first version.
    const ConfigurationPtr &configuration() const { return m_inForce; }

private:
    ConfigurationPtr filtered(ConfigurationPtr configuration) const;

    Filter m_filter;
    ConfigurationPtr m_inForce;
    std::vector<Address<ConfigurationChanged>> m_subscribers;
    Address<TelemetryMessage> m_telemetry;
};

} // namespace Coltsfootwell
