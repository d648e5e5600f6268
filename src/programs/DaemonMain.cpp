#include "programs/DaemonMain.h"

#include "kernel/AsioExecutor.h"
#include "programs/ConfigurationFile.h"
#include "programs/ProgramFiles.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"

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

RunResult runOnce(const DaemonSettings &settings, ConfigurationPtr initial, Random &random,
                  Incarnation minIncarnation, const DaemonStrategies &strategies)
{
    boost::asio::io_context context(1);
    AsioExecutor executor(context);
    Kernel kernel(executor, random);
    RunResult result;
    DaemonEvents events;
    events.left = [&context] { context.stop(); };
    events.conflict = [&](const IncarnationConflict &heard) {
        result.exitCode = heard.replaced ? ExitReplaced : 0;
        result.taken = heard.replaced ? std::nullopt : std::optional(heard.heard);
        executor.post([&] { kernel.stop([&context] { context.stop(); }); });
    };
    addDaemonServices(kernel, context, settings, std::move(initial), minIncarnation,
                      std::move(events), strategies);
    if (const std::error_code ec = kernel.start()) {
        std::cerr << "coltsfootd: " << settings.id << " cannot start service \"" << kernel.failed()
                  << "\" (listen " << settings.listen.address << ':' << settings.listen.port
                  << (settings.log.embedded ? ", log listen " + settings.log.address : "")
                  << "): " << ec.message() << '\n';
        return {ExitStartFailed, {}};
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int number) {
        if (!ec) {
            result.taken.reset();
            if (!strategies.plannedStop) {
                context.stop();
                return;
            }
            std::error_code unknown;
            kernel.directory()
                .find<StopMessage>(ServiceName::Stop, unknown)
                .send(AskStop {"signal " + std::to_string(number)});
        }
    });
    context.run();
    return result;
}

int run(const DaemonSettings &settings, const ConfigurationPtr &initial,
        const DaemonStrategies &strategies)
{
    SeededRandom random(seedFromDevice());
    RunResult result = runOnce(settings, initial, random, 0, strategies);
    while (result.taken) {
        // All services know the incarnation from their start, so they start again.
        result = runOnce(settings, initial, random, *result.taken + 1, strategies);
    }
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
    app.add_option("--settings", settingsFile, "JSON file with the daemon's settings")->required();
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
    ConfigurationPtr initial;
    if (!settings.configurationFile.empty()) {
        std::vector<std::string> messages;
        initial = std::make_shared<Configuration>(
            readConfiguration(settings.configurationFile, messages));
        for (const std::string &message : messages) {
            std::cerr << "coltsfootd: " << message << '\n';
        }
        if (!messages.empty()) {
            return ExitBadSettings;
        }
    }
    return run(settings, initial, strategies);
}

} // namespace Coltsfootwell
