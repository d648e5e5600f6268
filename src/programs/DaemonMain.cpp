#include "programs/DaemonMain.h"

#include "kernel/AsioExecutor.h"
#include "platform/PlatformInterface.h"
#include "programs/DaemonEnd.h"
#include "programs/SettingsFile.h"
#include "programs/SettingsWatch.h"
#include "services/ConfigurationMessages.h"
#include "services/LogOutput.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "services/TaskFailureReports.h"
#include "services/TelemetryMessages.h"

#include <malloc.h>

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
/// Name of the daemon in the log while its settings are not known.
constexpr std::string_view UnknownDaemon = "unknown";

/// Maximum number of service restarts with a higher incarnation, so that two daemons with the same
/// id and address do not supersede each other without end.
constexpr int MaxConflictRestarts = 8;

/// Size from which memory goes back to the system as soon as it is freed. By default the allocator
/// raises it to the size of the long bodies that were freed, and keeps their memory.
constexpr int ReturnedMemoryBytes = 1 << 20;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// \brief Result of one run of the services.
struct RunResult
{
    int exitCode = 0;
    /// Reason of the exit, and further fields of its log line.
    std::string_view reason = "planned-stop";
    std::string fields;
    /// Incarnation of another process with the same name; set if the services must restart with
    /// a higher one.
    std::optional<Incarnation> conflictingIncarnation;
};

/// Runs the services of one daemon from their start to their stop.
class DaemonRun
{
public:
    DaemonRun(std::string settingsFile, LoadedSettings loaded, Random &random,
              const DaemonStrategies &strategies)
        : m_settings(std::move(loaded.settings)), m_strategies(strategies), m_executor(m_context),
          m_kernel(m_executor, random), m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
          m_watch(m_kernel, std::move(settingsFile), std::move(loaded.text), m_settings)
    {
        m_executor.setFailureSink([this](std::string_view where, const std::exception_ptr &error) {
            m_failures.report(where, error);
        });
    }

    ~DaemonRun() { m_executor.close(); }
    DaemonRun(const DaemonRun &) = delete;
    DaemonRun &operator=(const DaemonRun &) = delete;

    RunResult run(Incarnation minIncarnation)
    {
        DaemonCallbacks callbacks;
        callbacks.onStopped = [this] { m_context.stop(); };
        callbacks.onConflict = [this](const IncarnationConflict &conflict) {
            if (m_stopRequested) {
                // The process ends anyway, and calls in flight are answered first.
                return;
            }
            m_result.exitCode = conflict.replaced ? ExitReplaced : 0;
            m_result.reason = "replaced";
            m_result.fields = "otherIncarnation=" + std::to_string(conflict.otherIncarnation);
            m_result.conflictingIncarnation
                = conflict.replaced ? std::nullopt : std::optional(conflict.otherIncarnation);
            m_executor.post([this] { m_kernel.stop([this] { m_context.stop(); }); });
        };
        addDaemonServices(m_kernel, m_context, m_settings, minIncarnation, std::move(callbacks),
                          m_strategies);
        if (const std::error_code ec = m_kernel.start()) {
            std::cerr << "coltsfootd: " << m_settings.id << " cannot start service \""
                      << m_kernel.failedService() << "\" (listen " << m_settings.listen.address
                      << ':' << m_settings.listen.port << ", peers " << m_settings.peers.address
                      << ':' << m_settings.peers.port << "): " << ec.message() << '\n';
            return {ExitStartFailed,
                    "start-failed",
                    "service=" + std::string(m_kernel.failedService())
                        + " error=" + logValue(ec.message()),
                    {}};
        }
        sendLogEvent(LogEvent {"daemon.started", "",
                               "region=" + m_settings.region
                                   + " dataCentre=" + m_settings.dataCentre + " interface="
                                   + m_settings.interface + " version=" + COLTSFOOTWELL_VERSION});
        waitForSignal();
        m_watch.start();
        runContext();
        return m_result;
    }

private:
    /// Runs all handlers until the context is stopped. A handler that an exception leaves is done
    /// with, so that each turn of the loop makes progress.
    void runContext()
    {
        for (bool isRunning = true; isRunning;) {
            try {
                m_context.run();
                isRunning = false;
            } catch (...) {
                m_failures.report("handler", std::current_exception());
            }
        }
    }

    void sendLogEvent(LogEvent event)
    {
        std::error_code ignored;
        m_kernel.directory()
            .find<TelemetryMessage>(ServiceName::Telemetry, ignored)
            .send(std::move(event));
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int number) {
            if (ec) {
                return;
            }
            waitForSignal();
            if (number == SIGHUP) {
                m_watch.reload("signal");
            } else {
                stop(number);
            }
        });
    }

    void stop(int signal)
    {
        m_stopRequested = true;
        m_result.conflictingIncarnation.reset();
        if (m_result.exitCode != ExitReplaced) {
            m_result.reason = m_strategies.plannedStop ? "planned-stop" : "stop-at-once";
            m_result.fields = "signal=" + std::to_string(signal);
        }
        if (!m_strategies.plannedStop) {
            m_context.stop();
            return;
        }
        std::error_code ignored;
        m_kernel.directory()
            .find<StopMessage>(ServiceName::Stop, ignored)
            .send(RequestStop {"signal-" + std::to_string(signal)});
    }

    DaemonSettings m_settings;
    const DaemonStrategies &m_strategies;
    /// Before the context, since the objects that its handlers hold use the executor to their end.
    AsioExecutor m_executor;
    boost::asio::io_context m_context {1};
    Kernel m_kernel;
    TaskFailureReports m_failures {m_kernel};
    boost::asio::signal_set m_signals;
    SettingsWatch m_watch;
    /// True once a signal has asked the process to end.
    bool m_stopRequested = false;
    RunResult m_result;
};

int run(const std::string &settingsFile, const LoadedSettings &loaded,
        const DaemonStrategies &strategies)
{
    SeededRandom random(randomSeed());
    RunResult result;
    Incarnation minIncarnation = 0;
    int conflicts = 0;
    do {
        // The incarnation of a running service cannot change, so all services are restarted.
        result = DaemonRun(settingsFile, loaded, random, strategies).run(minIncarnation);
        minIncarnation = result.conflictingIncarnation.value_or(0) + 1;
    } while (result.conflictingIncarnation && ++conflicts <= MaxConflictRestarts);
    if (result.conflictingIncarnation) {
        result.exitCode = ExitReplaced;
    }
    if (result.exitCode == ExitReplaced) {
        std::cerr << "coltsfootd: " << loaded.settings.id
                  << " was replaced by a later process with the same id\n";
    }
    logExit(loaded.settings.id, result.exitCode, result.reason, result.fields);
    return result.exitCode;
}

} // namespace

int daemonMain(int argc, char **argv, const DaemonStrategies &strategies)
{
    mallopt(M_MMAP_THRESHOLD, ReturnedMemoryBytes);
    // Keeps SIGHUP from ending the process before and between the runs of the services, each of
    // which handles it. Their first check of the settings file finds what changed meanwhile.
    boost::asio::io_context signalContext;
    const boost::asio::signal_set heldSignals(signalContext, SIGHUP);
    CLI::App app("Load balancer daemon; runs beside one backend server.");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "JSON file with the settings of the daemon")
        ->envname(PlatformSettingsVariable)
        ->required();
    app.footer("Exit codes: 0 planned stop, 2 settings file unreadable or invalid, 3 a service\n"
               "cannot start, 4 replaced by a later process with the same id, 100-199 invalid\n"
               "command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    CLI11_PARSE(app, argc, argv);

    // A log reader that ends must not end the daemon with the next line. Sockets do not raise the
    // signal.
    std::signal(SIGPIPE, SIG_IGN);
    // Nor must a log file that has reached the maximum size of a file.
    std::signal(SIGXFSZ, SIG_IGN);
    openLog();
    std::error_code ec;
    JsonFault fault;
    const LoadedSettings loaded = loadStartupSettings(settingsFile, fault, ec);
    if (ec) {
        const std::string error = fault.rule.empty() ? ec.message() : formatFault(fault);
        std::cerr << "coltsfootd: " << settingsFile << ": " << error << '\n';
        logExit(UnknownDaemon, ExitBadSettings,
                fault.rule.empty() ? "settings-unreadable" : "settings-invalid",
                "error=" + logValue(error));
        return ExitBadSettings;
    }
    logUnexpectedEnd(loaded.settings.id);
    return run(settingsFile, loaded, strategies);
}

} // namespace Coltsfootwell
