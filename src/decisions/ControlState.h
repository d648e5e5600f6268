// The control state: the configuration and the data centres that are out of service, as operators
// have published them.
//
// All records are in one topic of the store. The position of a state is that of the first record
// which it does not include. A configuration whose version is not higher than the active one is
// never applied.
#pragma once

#include "decisions/AvailabilityTable.h"
#include "decisions/Configuration.h"
#include "decisions/ControlStateSummary.h"

#include <map>
#include <set>
#include <string>

namespace Coltsfootwell {

/// \brief One daemon's copy of the control state.
class ControlState
{
public:
    /// \param dataCentres regions of all data centres, by the name of the data centre.
    explicit ControlState(std::map<std::string, std::string, std::less<>> dataCentres);

    /// \brief Applies a published configuration unless its version is outdated.
    /// \param configuration not null.
    /// \return true if the configuration is active from now on.
    bool applyConfiguration(ConfigurationPtr configuration);

    /// \return the data centres that are out of service, and the position up to which records are
    /// applied.
    AvailabilityTable &availability() { return m_availability; }
    const AvailabilityTable &availability() const { return m_availability; }

    /// \return position of the next record to apply; the default value if there is no state.
    const StorePosition &position() const { return m_availability.state().position; }

    /// \return true if a state has been received.
    bool hasPosition() const { return position() != StorePosition {}; }

    /// \return version of the active configuration; 0 if there is none.
    ConfigurationVersion version() const { return m_published ? m_published->version : 0; }

    /// \return what other daemons are told of this state.
    ControlStateSummary summary() const;

    /// \return the published configuration with all data centres, each marked as in service or not;
    /// null if no configuration has been published.
    ConfigurationPtr activeConfiguration() const;

private:
    std::map<std::string, std::string, std::less<>> m_dataCentres;
    ConfigurationPtr m_published;
    AvailabilityTable m_availability;
};

} // namespace Coltsfootwell
