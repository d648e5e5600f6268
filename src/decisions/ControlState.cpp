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
    if (m_base && configuration->version <= m_base->version) {
        return false;
    }
    m_base = std::move(configuration);
    return true;
}

bool ControlState::setOutOfService(const std::string &dataCentre, bool out)
{
    return out ? m_out.insert(dataCentre).second : m_out.erase(dataCentre) > 0;
}

bool ControlState::replaceOutOfService(std::set<std::string> dataCentres)
{
    return std::exchange(m_out, dataCentres) != dataCentres;
}

void ControlState::advancePosition(std::uint64_t end)
{
    m_position = std::max(m_position, end);
}

ConfigurationPtr ControlState::activeConfiguration() const
{
    if (!m_base) {
        return nullptr;
    }
    auto configuration = std::make_shared<Configuration>(*m_base);
    for (const auto &[name, region] : m_dataCentres) {
        configuration->dataCentres.try_emplace(name, DataCentreRules {region, true});
    }
    for (const std::string &name : m_out) {
        if (const auto it = configuration->dataCentres.find(name);
            it != configuration->dataCentres.end()) {
            it->second.inService = false;
        }
    }
    return configuration;
}

} // namespace Coltsfootwell
