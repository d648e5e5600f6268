#include "programs/SettingsWatch.h"

#include "programs/ProgramFiles.h"
#include "services/CallMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

namespace Coltsfootwell {

SettingsWatch::SettingsWatch(Kernel &kernel, std::string file, std::string text,
                             DaemonSettings &settings)
    : m_kernel(kernel), m_file(std::move(file)), m_settings(settings), m_text(std::move(text))
{
}

void SettingsWatch::start()
{
    m_kernel.executor().scheduleAfter(CheckInterval, [this] { check(); });
}

void SettingsWatch::reload(std::string_view cause)
{
    std::error_code ec;
    const std::string text = readFile(m_file, ec);
    JsonFault fault;
    const DaemonSettings next = ec ? DaemonSettings {} : decodeSettings(text, fault, ec);
    std::error_code ignored;
    const Directory &directory = m_kernel.directory();
    if (ec) {
        directory.find<TelemetryMessage>(ServiceName::Telemetry, ignored)
            .send(LogEvent {"settings.unusable", "",
                            "file=" + m_file + " cause=" + std::string(cause) + " "
                                + (fault.rule.empty() ? ec.message() : formatFault(fault))});
        return;
    }
    m_text = text;
    apply(next, cause);
    directory.find<ConfigurationMessage>(ServiceName::Configuration, ignored)
        .send(ReloadConfiguration {});
}

void SettingsWatch::check()
{
    start();
    std::error_code ec;
    if (const std::string text = readFile(m_file, ec); !ec && text != m_text) {
        reload("file");
    }
}

void SettingsWatch::apply(const DaemonSettings &next, std::string_view cause)
{
    m_settings.service = next.service;
    m_settings.retries = next.retries;
    std::error_code ignored;
    const Directory &directory = m_kernel.directory();
    directory.find<CallsMessage>(ServiceName::Calls, ignored)
        .send(CallSettingsChanged {next.service, next.retries});
    directory.find<TelemetryMessage>(ServiceName::Telemetry, ignored)
        .send(LogEvent {"settings.reloaded", "",
                        "cause=" + std::string(cause) + " service=" + next.service});
}

} // namespace Coltsfootwell
