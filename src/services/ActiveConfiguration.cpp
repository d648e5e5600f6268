#include "services/ActiveConfiguration.h"

#include "services/UnixTime.h"

#include <chrono>
#include <string>
#include <utility>

namespace Coltsfootwell {

namespace {

constexpr double MillisecondsPerSecond = 1000;

std::string millisecondsText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string commaSeparated(const auto &names)
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
    subscriber.send(ConfigurationChanged {m_configuration});
}

void ActiveConfiguration::activate(const ControlState &state, const ConfigurationSource &source,
                                   Duration delay)
{
    m_telemetry.send(
        ObserveDuration {"configuration_delay_seconds", std::string(source.kind), delay});
    m_configuration = filtered(state.activeConfiguration());
    if (!m_configuration) {
        return;
    }
    m_telemetry.send(LogEvent {
        "configuration.inForce", "",
        "version=" + std::to_string(m_configuration->version)
            + " position=" + std::to_string(state.position().offset)
            + " epoch=" + std::to_string(state.position().epoch)
            + " out=" + commaSeparated(state.availability().outOfService()) + " source="
            + std::string(source.kind) + " bytes=" + std::to_string(source.transfer.bytes)
            + " arrivalMs=" + millisecondsText(source.transfer.bodyReceiveTime) + " waitedMs="
            + millisecondsText(delay) + " superseded=" + std::to_string(source.superseded)});
    m_telemetry.send(
        SetGauge {"configuration_version", "", static_cast<double>(m_configuration->version)});
    m_telemetry.send(SetGauge {"configuration_in_force_since_seconds", "",
                               static_cast<double>(unixMs()) / MillisecondsPerSecond});
    for (const auto &subscriber : m_subscribers) {
        subscriber.send(ConfigurationChanged {m_configuration});
    }
}

ConfigurationPtr ActiveConfiguration::filtered(ConfigurationPtr configuration) const
{
    if (!m_filter || !configuration) {
        return configuration;
    }
    auto modified = std::make_shared<Configuration>(*configuration);
    m_filter(*modified);
    return modified;
}

} // namespace Coltsfootwell
