// The operators' tool: publishes configurations and shows which are in force.
#include "programs/EndpointArgument.h"
#include "programs/OperatorCommands.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>

namespace {

using namespace Coltsfootwell;

constexpr const char *ExitCodes
    = "Exit codes: 0 done, 2 bad input, 3 conflict (another operator was first, or the history is "
      "lost), 4 log unavailable, 5 not in force everywhere in time.";

/// What the command line asks for.
struct CommandLine
{
    OperatorOptions options;
    std::vector<std::string> daemons;
    double waitSeconds = 0;
    std::string argument;
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
    if (name == "publish") {
        sub->add_flag("--reset", line.options.reset,
                      "set the state although its history is lost; the version begins a new range");
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
    addCommand(app, line, "show", "print the configuration in force", "",
               [](OperatorCommands &commands) { return commands.show(); });
    addCommand(app, line, "out", "take a data centre out of service", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, false); });
    addCommand(app, line, "back", "bring a data centre back", "DATA_CENTRE",
               [&](OperatorCommands &commands) { return commands.setInService(argument, true); });
    addCommand(app, line, "drain", "drain the backend server of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, true); });
    addCommand(app, line, "undrain", "end the drain of a daemon", "DAEMON",
               [&](OperatorCommands &commands) { return commands.setDrained(argument, false); });
    addCommand(app, line, "status", "print each daemon's version and its freshness", "",
               [](OperatorCommands &commands) { return commands.status(); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Operators' tool of the load balancer.");
    CommandLine line;
    const char *user = std::getenv("USER");
    line.options.author = user ? user : "operator";
    app.require_subcommand(1);
    app.footer(ExitCodes);
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    app.add_option("--log", line.options.log, "IP number and port of the log")
        ->capture_default_str();
    app.add_option("--author", line.options.author, "name written into published versions")
        ->capture_default_str();
    app.add_option("--daemon", line.daemons,
                   "IP number and port of a daemon to ask; may be repeated; without it the "
                   "daemons that the log names are asked");
    app.add_option("--wait", line.waitSeconds,
                   "seconds to wait until the version is in force on all known daemons; 0 does "
                   "not wait")
        ->check(CLI::Range(0.0, 3600.0));
    addCommands(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(OperatorExit::BadInput);
    }
    for (const std::string &text : line.daemons) {
        const auto endpoint = endpointArgument(text);
        if (!endpoint) {
            std::cerr << "--daemon: \"" << text << "\" " << EndpointRule << '\n';
            return static_cast<int>(OperatorExit::BadInput);
        }
        line.options.daemons.push_back(*endpoint);
    }
    line.options.wait = std::chrono::milliseconds(static_cast<int>(line.waitSeconds * 1000));
    OperatorCommands commands(line.options, std::cout, std::cerr);
    return static_cast<int>(line.command(commands));
}
