#include "services/ActiveConfiguration.h"

#include <chrono>
#include <string>
#include <utility>

namespace Coltsfootwell {

namespace {

std::string inMs(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string joined(const auto &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text.empty() ? "none" : text;
}

} // namespace

void ActiveConfiguration::subscribe(const Address<ConfigurationChanged> &subscriber)
{
    m_subscribers.push_back(subscriber);
    subscriber.send(ConfigurationChanged {m_inForce});
}

void ActiveConfiguration::publish(const ControlState &state, const ConfigurationSource &origin,
                                  Duration waited)
{
    m_telemetry.send(
        ObserveDuration {"configuration_delay_seconds", std::string(origin.source), waited});
    m_inForce = filtered(state.activeConfiguration());
    if (!m_inForce) {
        return;
    }
    m_telemetry.send(LogEvent {
        "configuration.inForce", "",
        "version=" + std::to_string(m_inForce->version) + " position="
            + std::to_string(state.position()) + " out=" + joined(state.outOfService()) + " source="
            + std::string(origin.source) + " bytes=" + std::to_string(origin.transfer.bytes)
            + " arrivalMs=" + inMs(origin.transfer.arrival) + " waitedMs=" + inMs(waited)
            + " superseded=" + std::to_string(origin.superseded)});
    m_telemetry.send(
        SetGauge {"configuration_version", "", static_cast<double>(m_inForce->version)});
    for (const auto &subscriber : m_subscribers) {
        subscriber.send(ConfigurationChanged {m_inForce});
    }
}

ConfigurationPtr ActiveConfiguration::filtered(ConfigurationPtr configuration) const
{
    if (!m_filter || !configuration) {
        return configuration;
    }
    auto changed = std::make_shared<Configuration>(*configuration);
    m_filter(*changed);
    return changed;
}

} // namespace Coltsfootwell
