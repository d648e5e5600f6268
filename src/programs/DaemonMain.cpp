#include "programs/DaemonMain.h"

#include "kernel/AsioExecutor.h"
#include "programs/ProgramFiles.h"
#include "programs/SettingsWatch.h"
#include "services/ConfigurationMessages.h"
#include "services/LogOutput.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TelemetryMessages.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <optional>
#include <random>
#include <utility>

namespace Coltsfootwell {

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitStartFailed = 3;
constexpr int ExitReplaced = 4;

/// Names the settings file when the command line does not.
constexpr const char *SettingsVariable = "COLTSFOOTWELL_BOOT";

std::uint64_t seedFromDevice()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// \brief How a run of the services has ended.
struct RunResult
{
    int exitCode = 0;
    /// Set when the services have to start again with a higher incarnation.
    std::optional<Incarnation> taken;
};

/// Runs the services of one daemon until they stop.
class DaemonRun
{
public:
    DaemonRun(std::string settingsFile, DaemonSettings settings, Random &random,
              const DaemonStrategies &strategies)
        : m_settings(std::move(settings)), m_strategies(strategies), m_executor(m_context),
          m_kernel(m_executor, random), m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
          m_watch(m_kernel, std::move(settingsFile), m_settings)
    {
    }

    RunResult run(Incarnation minIncarnation)
    {
        DaemonCallbacks events;
        events.stopped = [this] { m_context.stop(); };
        events.conflict = [this](const IncarnationConflict &heard) {
            m_result.exitCode = heard.replaced ? ExitReplaced : 0;
            m_result.taken = heard.replaced ? std::nullopt : std::optional(heard.otherIncarnation);
            m_executor.post([this] { m_kernel.stop([this] { m_context.stop(); }); });
        };
        addDaemonServices(m_kernel, m_context, m_settings, minIncarnation, std::move(events),
                          m_strategies);
        if (const std::error_code ec = m_kernel.start()) {
            std::cerr << "coltsfootd: " << m_settings.id << " cannot start service \""
                      << m_kernel.failedService() << "\" (listen " << m_settings.listen.address
                      << ':' << m_settings.listen.port << ", peers " << m_settings.peers.address
                      << ':' << m_settings.peers.port << "): " << ec.message() << '\n';
            return {ExitStartFailed, {}};
        }
        tell(LogEvent {"daemon.started", "",
                       "region=" + m_settings.region + " dataCentre=" + m_settings.dataCentre
                           + " interface=" + m_settings.interface + " version="
                           + COLTSFOOTWELL_VERSION});
        waitForSignal();
        m_watch.start();
        m_context.run();
        return m_result;
    }

private:
    void tell(LogEvent event)
    {
        std::error_code unknown;
        m_kernel.directory()
            .find<TelemetryMessage>(ServiceName::Telemetry, unknown)
            .send(std::move(event));
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int number) {
            if (ec) {
                return;
            }
            if (number == SIGHUP) {
                m_watch.reload("signal");
            } else {
                stop(number);
            }
            waitForSignal();
        });
    }

    void stop(int signal)
    {
        m_result.taken.reset();
        if (!m_strategies.plannedStop) {
            m_context.stop();
            return;
        }
        std::error_code unknown;
        m_kernel.directory()
            .find<StopMessage>(ServiceName::Stop, unknown)
            .send(RequestStop {"signal-" + std::to_string(signal)});
    }

    DaemonSettings m_settings;
    const DaemonStrategies &m_strategies;
    boost::asio::io_context m_context {1};
    AsioExecutor m_executor;
    Kernel m_kernel;
    boost::asio::signal_set m_signals;
    SettingsWatch m_watch;
    RunResult m_result;
};

int run(const std::string &settingsFile, const DaemonSettings &settings,
        const DaemonStrategies &strategies)
{
    SeededRandom random(seedFromDevice());
    RunResult result;
    Incarnation least = 0;
    do {
        // All services know the incarnation from their start, so they start again.
        result = DaemonRun(settingsFile, settings, random, strategies).run(least);
        least = result.taken.value_or(0) + 1;
    } while (result.taken);
    if (result.exitCode == ExitReplaced) {
        std::cerr << "coltsfootd: " << settings.id << " was replaced by a later process\n";
    }
    return result.exitCode;
}

} // namespace

int daemonMain(int argc, char **argv, const DaemonStrategies &strategies)
{
    CLI::App app("Load balancer daemon; runs beside one backend server.");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "JSON file with the daemon's settings")
        ->envname(SettingsVariable)
        ->required();
    app.footer("Exit codes: 0 stopped as planned, 2 bad settings or configuration file, 3 cannot\n"
               "start, 4 replaced by a later process of the same id, 100-199 bad command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    CLI11_PARSE(app, argc, argv);

    std::error_code ec;
    JsonFault fault;
    const std::string text = readFile(settingsFile, ec);
    if (ec) {
        std::cerr << "coltsfootd: " << settingsFile << ": " << ec.message() << '\n';
        return ExitBadSettings;
    }
    const DaemonSettings settings = decodeSettings(text, fault, ec);
    if (ec) {
        std::cerr << "coltsfootd: " << settingsFile << ": " << faultLine(fault) << '\n';
        return ExitBadSettings;
    }
    openLog();
    return run(settingsFile, settings, strategies);
}

} // namespace Coltsfootwell
