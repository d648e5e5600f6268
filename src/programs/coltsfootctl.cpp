// Operators' tool: publishes configurations, shows which are active, and explains requests.
#include "programs/EndpointArgument.h"
#include "programs/LogExplainer.h"
#include "programs/OperatorCommands.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <functional>
#include <iostream>

namespace {

using namespace Coltsfootwell;

constexpr const char *ExitCodes
    = "Exit codes: 0 success, 2 invalid input, or configuration, data centre or request not found, "
      "3 version conflict (another operator published first), 4 store unavailable or without "
      "daemons, 5 version not active on all daemons within the time of --wait.";

/// Options and command of the command line.
struct CommandLine
{
    std::string store = "127.0.0.1:7000";
    std::vector<std::string> daemons;
    double waitSeconds = 0;
    std::string argument;
    std::vector<std::string> files;
    bool printSummary = false;
    std::function<OperatorExit(OperatorCommands &)> command;
};

void addCommand(CLI::App &app, CommandLine &line, const std::string &name, const std::string &help,
                const std::string &argument,
                std::function<OperatorExit(OperatorCommands &)> command)
{
    CLI::App *sub = app.add_subcommand(name, help);
    sub->fallthrough();
    if (!argument.empty()) {
        sub->add_option(argument, line.argument)->required();
    }
    sub->callback([&line, command = std::move(command)] { line.command = command; });
}

void addCommands(CLI::App &app, CommandLine &line)
{
    const std::string &argument = line.argument;
    addCommand(app, line, "publish", "publish the configuration in a file", "FILE",
               [&](OperatorCommands &commands) { return commands.publish(argument); });
    addCommand(app, line, "diff", "print the differences between the newest version and a file",
               "FILE", [&](OperatorCommands &commands) { return commands.diff(argument); });
    addCommand(app, line, "show", "print the newest configuration", "",
               [](OperatorCommands &commands) { return commands.show(); });
    addCommand(app, line, "out", "take a data centre out of service", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, false); });
    addCommand(app, line, "back", "return a data centre to service", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, true); });
    addCommand(app, line, "drain", "start to drain the backend server of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, true); });
    addCommand(app, line, "undrain", "stop draining the backend server of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, false); });
    addCommand(app, line, "status", "print the active version of each daemon", "",
               [](OperatorCommands &commands) { return commands.status(); });
}

void addExplain(CLI::App &app, CommandLine &line)
{
    CLI::App *sub = app.add_subcommand(
        "explain", "explain the outcome of a request from log files or standard input");
    sub->add_option("REQUEST", line.argument, "id of the request; omitted with --summary");
    sub->add_option("--file", line.files, "log file; may be repeated; default is standard input")
        ->check(CLI::ExistingFile);
    sub->add_flag("--summary", line.printSummary, "print the number of failed requests by cause");
}

int explain(const CommandLine &line)
{
    if (line.argument.empty() != line.printSummary) {
        std::cerr << "explain: specify either the id of a request or --summary\n";
        return static_cast<int>(OperatorExit::BadInput);
    }
    LogExplainer logs;
    for (const std::string &file : line.files) {
        std::ifstream in(file);
        logs.read(in, file);
    }
    if (line.files.empty()) {
        logs.read(std::cin, "standard input");
    }
    constexpr std::size_t MaxQuotedLines = 5;
    if (const auto &unparsable = logs.unparsableLines(); !unparsable.empty()) {
        std::cerr << unparsable.size() << " lines are not log lines of a daemon:";
        for (std::size_t i = 0; i < std::min(unparsable.size(), MaxQuotedLines); ++i) {
            std::cerr << ' ' << unparsable[i];
        }
        std::cerr << (unparsable.size() > MaxQuotedLines ? " ...\n" : "\n");
    }
    if (line.printSummary) {
        logs.printSummary(std::cout);
    } else if (!logs.explain(line.argument, std::cout)) {
        std::cerr << "found no log line of request " << line.argument << '\n';
        return static_cast<int>(OperatorExit::BadInput);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Operators' tool of the load balancer.");
    CommandLine line;
    app.require_subcommand(1);
    app.footer(ExitCodes);
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    app.add_option("--store", line.store, "IP address:port of the store")->capture_default_str();
    app.add_option("--daemon", line.daemons,
                   "IP address:port of a daemon to query; may be repeated; default is all daemons "
                   "that are registered in the store");
    app.add_option(
           "--wait", line.waitSeconds,
           "maximum seconds to wait until the version is active on all daemons; 0 (default) "
           "does not wait")
        ->check(CLI::Range(0.0, 3600.0));
    addCommands(app, line);
    addExplain(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(OperatorExit::BadInput);
    }
    if (!line.command) {
        return explain(line);
    }
    OperatorOptions options;
    std::vector<std::string> endpointTexts = line.daemons;
    endpointTexts.insert(endpointTexts.begin(), line.store);
    for (const std::string &text : endpointTexts) {
        const auto endpoint = parseEndpointArgument(text);
        if (!endpoint) {
            std::cerr << "--store or --daemon: \"" << text << "\" " << EndpointRule << '\n';
            return static_cast<int>(OperatorExit::BadInput);
        }
        options.daemons.push_back(*endpoint);
    }
    options.store = options.daemons.front();
    options.daemons.erase(options.daemons.begin());
    options.wait = std::chrono::milliseconds(static_cast<int>(line.waitSeconds * 1000));
    OperatorCommands commands(options, std::cout, std::cerr);
    return static_cast<int>(line.command(commands));
}
