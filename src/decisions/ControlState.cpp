#include "decisions/ControlState.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

ControlState::ControlState(std::map<std::string, std::string, std::less<>> dataCentres)
    : m_dataCentres(std::move(dataCentres))
{
}

bool ControlState::applyConfiguration(ConfigurationPtr configuration)
{
    if (m_published && configuration->version <= m_published->version) {
        return false;
    }
    m_published = std::move(configuration);
    return true;
}

bool ControlState::setOutOfService(const std::string &dataCentre, bool isOut)
{
    return isOut ? m_outOfService.insert(dataCentre).second : m_outOfService.erase(dataCentre) > 0;
}

bool ControlState::replaceOutOfService(std::set<std::string> dataCentres)
{
    return std::exchange(m_outOfService, dataCentres) != dataCentres;
}

void ControlState::advancePosition(std::uint64_t end)
{
    m_position = std::max(m_position, end);
}

ConfigurationPtr ControlState::activeConfiguration() const
{
    if (!m_published) {
        return nullptr;
    }
    auto configuration = std::make_shared<Configuration>(*m_published);
    for (const auto &[name, region] : m_dataCentres) {
        configuration->dataCentres.try_emplace(name, DataCentreRules {region, true});
    }
    for (const std::string &name : m_outOfService) {
        if (const auto it = configuration->dataCentres.find(name);
            it != configuration->dataCentres.end()) {
            it->second.inService = false;
        }
    }
    return configuration;
}

} // namespace Coltsfootwell
