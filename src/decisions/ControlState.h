// The newest state that operators have published, and which of two states is newer.
//
// Records lie in one topic of the store, so their offsets order them; a state is named by the
// offset up to which it holds. A version of the configuration that is lower than the one in force
// is never taken over.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Coltsfootwell {

/// \brief What operators have published, as one daemon knows it.
class ControlState
{
public:
    /// \param dataCentres all data centres and their regions.
    explicit ControlState(std::map<std::string, std::string, std::less<>> dataCentres);

    /// \brief A configuration was published.
    /// \param configuration well-formed.
    /// \return true when it is in force from now on.
    bool applyConfiguration(ConfigurationPtr configuration);

    /// \brief A data centre was taken out of service or brought back.
    /// \return true when that has changed something.
    bool setOutOfService(const std::string &dataCentre, bool isOut);

    /// \brief Replaces the list of data centres that are out of service.
    /// \return true when that has changed something.
    bool replaceOutOfService(std::set<std::string> dataCentres);

    /// \brief Records up to an offset are known.
    void advancePosition(std::uint64_t end);

    /// \return offset of the next record.
    std::uint64_t position() const { return m_position; }

    const std::set<std::string> &outOfService() const { return m_outOfService; }

    /// \return version in force; 0 for none.
    ConfigurationVersion version() const { return m_published ? m_published->version : 0; }

    /// \return the configuration with the data centres that are out; null before the first one.
    ConfigurationPtr activeConfiguration() const;

private:
    std::map<std::string, std::string, std::less<>> m_dataCentres;
    ConfigurationPtr m_published;
    std::set<std::string> m_outOfService;
    std::uint64_t m_position = 0;
};

} // namespace Coltsfootwell
