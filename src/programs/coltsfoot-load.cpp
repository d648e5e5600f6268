// Open-loop load generator for daemons.
#include "programs/EndpointArgument.h"
#include "programs/LoadRun.h"
#include "programs/LoadTargets.h"
#include "programs/ProgramFiles.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace {

using namespace Coltsfootwell;

constexpr int ExitBadInput = 2;
constexpr int ExitCannotWrite = 3;
constexpr int ExitCrossedAnswers = 4;

struct Options
{
    std::vector<std::string> targets;
    std::string mix;
    std::string report;
    std::string plot;
    std::string history;
    double seconds = 5;
};

/// \return false after an error message; true without a path, since nothing is written then.
bool writeOrReport(const std::string &path, const std::string &content)
{
    if (path.empty()) {
        return true;
    }
    std::error_code ec;
    writeFile(path, content, ec);
    if (ec) {
        std::cerr << "coltsfoot-load: " << path << ": " << ec.message() << '\n';
    }
    return !ec;
}

bool readPlan(const Options &options, LoadPlan &plan)
{
    for (const std::string &text : options.targets) {
        const auto endpoint = parseEndpointArgument(text);
        if (!endpoint) {
            std::cerr << "coltsfoot-load: --target: \"" << text << "\" " << EndpointRule << '\n';
            return false;
        }
        plan.targets.push_back(*endpoint);
    }
    std::error_code ec;
    const std::string text = readFile(options.mix, ec);
    if (ec) {
        std::cerr << "coltsfoot-load: " << options.mix << ": " << ec.message() << '\n';
        return false;
    }
    JsonFault fault;
    plan.mix = decodeLoadMix(text, fault, ec);
    if (ec) {
        std::cerr << "coltsfoot-load: " << options.mix << ": " << formatFault(fault) << '\n';
        return false;
    }
    return true;
}

int run(const Options &options, LoadPlan &plan)
{
    std::ofstream history;
    if (!options.history.empty()) {
        history.open(options.history, std::ios::trunc);
        if (!history) {
            std::cerr << "coltsfoot-load: " << options.history
                      << ": cannot open the file for writing\n";
            return ExitCannotWrite;
        }
        plan.onResult
            = [&history](const LoadResult &result) { history << encodeHistoryLine(result); };
    }
    const LoadSummary summary = runLoad(plan);
    const std::string report = encodeLoadReport(summary);
    std::cout << report;
    if (!writeOrReport(options.report, report)
        || !writeOrReport(options.plot, renderLoadPlot(summary))
        || (history.is_open() && !history.flush())) {
        return ExitCannotWrite;
    }
    const bool crossed = std::ranges::any_of(summary.results, &LoadResult::crossed);
    return crossed ? ExitCrossedAnswers : 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Open-loop load generator; measures latencies from the intended time of sending.");
    app.footer(
        "Exit codes: 0 all calls ended (some may have been refused), 2 mix file unreadable or\n"
        "invalid, or invalid address, 3 cannot write a file, 4 an answer belonged to another "
        "call,\n"
        "100-199 invalid command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    Options options;
    LoadPlan plan;
    app.add_option("--target", options.targets, "daemon as IP address:port; may be repeated")
        ->required();
    app.add_flag("--fixed-targets", plan.fixedTargets,
                 "call only the given daemons and discover no others");
    app.add_option("--mix", options.mix, "JSON file with the kinds of calls")->required();
    app.add_option("--rate", plan.callsPerSecond, "mean rate in calls per second")
        ->check(CLI::Range(0.01, 100'000.0));
    app.add_option("--seconds", options.seconds, "time in seconds during which calls are sent")
        ->check(CLI::Range(0.01, 3600.0));
    app.add_option("--seed", plan.seed, "seed of the random intervals, kinds and targets");
    app.add_option("--max-in-progress", plan.maxInFlight, "maximum number of calls in flight")
        ->check(CLI::Range(1U, 20'000U));
    app.add_option("--report", options.report, "output file for the JSON report");
    app.add_option("--plot", options.plot, "output file for the SVG plot");
    app.add_option("--history", options.history, "output file for one JSON line per call");
    CLI11_PARSE(app, argc, argv);
    plan.duration = std::chrono::milliseconds(static_cast<std::int64_t>(options.seconds * 1000));
    return readPlan(options, plan) ? run(options, plan) : ExitBadInput;
}
