#include "decisions/ControlState.h"

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

ControlStateSummary ControlState::summary() const
{
    const AvailabilityState &state = m_availability.state();
    return {state.position, version(), state.origin.epoch, state.digest()};
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
    for (const std::string &name : m_availability.outOfService()) {
        if (const auto it = configuration->dataCentres.find(name);
            it != configuration->dataCentres.end()) {
            it->second.inService = false;
        }
    }
    return configuration;
}

} // namespace Coltsfootwell
