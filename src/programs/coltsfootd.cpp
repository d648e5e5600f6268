// The daemon that runs beside each backend server.
#include "kernel/AsioExecutor.h"
#include "programs/Daemon.h"
#include "programs/ProgramFiles.h"
#include "services/ServiceNames.h"
#include "services/StopMessages.h"
#include "wire/ConfigurationJson.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <random>

namespace {

using namespace Coltsfootwell;

constexpr int ExitBadSettings = 2;
constexpr int ExitStartFailed = 3;

std::uint64_t seedFromDevice()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

int run(const DaemonSettings &settings, ConfigurationPtr initial)
{
    boost::asio::io_context context(1);
    AsioExecutor executor(context);
    SeededRandom random(seedFromDevice());
    Kernel kernel(executor, random);
    addDaemonServices(kernel, context, settings, std::move(initial),
                      [&context] { context.stop(); });
    if (const std::error_code ec = kernel.start()) {
        std::cerr << "coltsfootd: " << settings.id << " cannot start: " << ec.message() << '\n';
        return ExitStartFailed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code, int) { kernel.stop([&context] { context.stop(); }); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Load balancer daemon; runs beside one backend server.");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "JSON file with the daemon's settings")->required();
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
        std::cerr << "coltsfootd: " << settingsFile << ": " << fault.path << ' ' << fault.value
                  << ' ' << fault.rule << '\n';
        return ExitBadSettings;
    }
    ConfigurationPtr initial;
    if (!settings.configurationFile.empty()) {
        const std::string document = readFile(settings.configurationFile, ec);
        initial = std::make_shared<Configuration>(decodeConfiguration(document, fault, ec));
        if (ec) {
            std::cerr << "coltsfootd: " << settings.configurationFile << ": " << fault.path << ' '
                      << fault.value << ' ' << fault.rule << '\n';
            return ExitBadSettings;
        }
    }
    return run(settings, std::move(initial));
}
