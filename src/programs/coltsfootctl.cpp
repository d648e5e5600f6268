// The operators' tool: publishes configurations, shows which are in force, and explains requests.
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
    = "Exit codes: 0 done, 2 bad input, 3 conflict (another operator was first), 4 store "
      "unavailable, 5 not in force everywhere in time.";

/// What the command line asks for.
struct CommandLine
{
    std::string store = "127.0.0.1:7000";
    std::vector<std::string> daemons;
    double waitSeconds = 0;
    std::string argument;
    std::vector<std::string> files;
    bool summary = false;
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
    addCommand(app, line, "diff", "print what a file would change", "FILE",
               [&](OperatorCommands &commands) { return commands.diff(argument); });
    addCommand(app, line, "show", "print the newest configuration", "",
               [](OperatorCommands &commands) { return commands.show(); });
    addCommand(app, line, "out", "take a data centre out of service", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, false); });
    addCommand(app, line, "back", "bring a data centre back", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, true); });
    addCommand(app, line, "drain", "drain the backend server of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, true); });
    addCommand(app, line, "undrain", "end the drain of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, false); });
    addCommand(app, line, "status", "print each daemon's version", "",
               [](OperatorCommands &commands) { return commands.status(); });
}

void addExplain(CLI::App &app, CommandLine &line)
{
    CLI::App *sub = app.add_subcommand(
        "explain", "print the history of a request from log files, or of standard input");
    sub->add_option("REQUEST", line.argument, "id of the request; left out with --summary");
    sub->add_option("--file", line.files, "log file; may be repeated; standard input without it")
        ->check(CLI::ExistingFile);
    sub->add_flag("--summary", line.summary, "print the causes of all failed requests by count");
}

int explain(const CommandLine &line)
{
    if (line.argument.empty() != line.summary) {
        std::cerr << "explain: give the id of a request, or --summary\n";
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
    constexpr std::size_t MostNamed = 5;
    if (const auto &bad = logs.badLines(); !bad.empty()) {
        std::cerr << bad.size() << " lines are none of a daemon's:";
        for (std::size_t i = 0; i < std::min(bad.size(), MostNamed); ++i) {
            std::cerr << ' ' << bad[i];
        }
        std::cerr << (bad.size() > MostNamed ? " ...\n" : "\n");
    }
    if (line.summary) {
        logs.summary(std::cout);
    } else if (!logs.explain(line.argument, std::cout)) {
        std::cerr << "no line names the request " << line.argument << '\n';
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
    app.add_option("--store", line.store, "IP number and port of the store")->capture_default_str();
    app.add_option("--daemon", line.daemons,
                   "IP number and port of a daemon to ask; may be repeated; without it the "
                   "daemons that the store names are asked");
    app.add_option("--wait", line.waitSeconds,
                   "seconds to wait until the version is in force on all known daemons; 0 does "
                   "not wait")
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
    std::vector<std::string> texts = line.daemons;
    texts.insert(texts.begin(), line.store);
    for (const std::string &text : texts) {
        const auto endpoint = parseEndpointArgument(text);
        if (!endpoint) {
            std::cerr << "\"" << text << "\" " << EndpointRule << '\n';
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
