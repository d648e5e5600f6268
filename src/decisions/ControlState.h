// The control state: the configuration and the data centres that are out of service, as operators
// have published them.
//
// All records are in one topic of the store and are ordered by their offsets. The position of a
// state is the offset of the first record that it does not include. A configuration whose version
// is not higher than the active one is never applied.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>
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

    /// \brief Takes a data centre out of service or returns it to service.
    /// \return true if the state has changed.
    bool setOutOfService(const std::string &dataCentre, bool isOut);

    /// \brief Replaces the set of data centres that are out of service.
    /// \return true if the set has changed.
    bool replaceOutOfService(std::set<std::string> dataCentres);

    /// \brief Advances the position; lower positions are ignored.
    /// \param end offset after the last record that was applied.
    void advancePosition(std::uint64_t end);

    /// \return offset of the next record to apply.
    std::uint64_t position() const { return m_position; }

    /// \return names of the data centres that are out of service.
    const std::set<std::string> &outOfService() const { return m_outOfService; }

    /// \return version of the active configuration; 0 if there is none.
    ConfigurationVersion version() const { return m_published ? m_published->version : 0; }

    /// \return the published configuration with all data centres, each marked as in service or not;
    /// null if no configuration has been published.
    ConfigurationPtr activeConfiguration() const;

private:
    std::map<std::string, std::string, std::less<>> m_dataCentres;
    ConfigurationPtr m_published;
    std::set<std::string> m_outOfService;
    std::uint64_t m_position = 0;
};

} // namespace Coltsfootwell
