// Generates a configuration and an explanation of its values from the answers to a questionnaire.
#include "decisions/ConfigurationValidation.h"
#include "programs/PrettyJson.h"
#include "programs/ProgramFiles.h"
#include "programs/SetupPlan.h"
#include "wire/ConfigurationJson.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>

namespace {

using namespace Coltsfootwell;

constexpr int ExitBadAnswers = 2;
constexpr int ExitCannotWrite = 3;

struct Options
{
    std::string answers;
    std::string output;
    std::string explain;
    std::string settings;
    std::uint16_t firstPort = 7101;
};

/// \return false after an error message.
bool writeOrReport(const std::string &path, const std::string &content)
{
    std::error_code ec;
    writeFile(path, content, ec);
    if (ec) {
        std::cerr << "coltsfoot-setup: " << path << ": " << ec.message() << '\n';
    }
    return !ec;
}

std::optional<SetupAnswers> readAnswers(const Options &options)
{
    std::optional<AnswerFault> fault;
    if (options.answers.empty()) {
        // Questions are written to standard error, so that the configuration on standard output can
        // be redirected.
        const auto source = makeTerminalSource(std::cin, std::cerr);
        SetupAnswers answers = askSetup(*source, fault);
        return fault ? std::nullopt : std::optional(std::move(answers));
    }
    std::error_code ec;
    const std::string text = readFile(options.answers, ec);
    if (ec) {
        std::cerr << "coltsfoot-setup: " << options.answers << ": " << ec.message() << '\n';
        return std::nullopt;
    }
    AnswerFault fileFault;
    const auto source = makeFileSource(text, fileFault);
    SetupAnswers answers;
    if (fileFault.rule.empty()) {
        answers = askSetup(*source, fault);
    } else {
        fault = fileFault;
    }
    if (fault) {
        std::cerr << "coltsfoot-setup: " << options.answers << ": " << formatFault(*fault) << '\n';
        return std::nullopt;
    }
    return answers;
}

bool writeTrial(const Options &options, const SetupAnswers &answers, const std::string &document)
{
    std::error_code ec;
    std::filesystem::create_directories(options.settings, ec);
    const auto folder = std::filesystem::absolute(options.settings, ec);
    const std::string file = (folder / "configuration.json").string();
    bool written = writeOrReport(file, document);
    for (const TrialFile &trial : planTrial(answers, file, options.firstPort)) {
        written = written && writeOrReport((folder / trial.name).string(), trial.content);
    }
    return written;
}

int run(const Options &options)
{
    const std::optional<SetupAnswers> answers = readAnswers(options);
    if (!answers) {
        return ExitBadAnswers;
    }
    const Configuration configuration = planConfiguration(*answers);
    const std::string document = prettyJson(encodeConfiguration(configuration));
    JsonFault fault;
    std::error_code ec;
    (void)decodeConfiguration(document, fault, ec);
    if (ec) {
        std::cerr << "coltsfoot-setup: configuration: " << formatFault(fault) << '\n';
        return ExitBadAnswers;
    }
    const std::vector<RuleViolation> violations = validateConfiguration(configuration);
    for (const RuleViolation &violation : violations) {
        std::cerr << "coltsfoot-setup: configuration: " << violation.path << ' ' << violation.value
                  << ' ' << violation.rule << '\n';
    }
    if (!violations.empty()) {
        return ExitBadAnswers;
    }
    bool written = true;
    if (options.output.empty()) {
        std::cout << document;
    } else {
        written = writeOrReport(options.output, document);
    }
    if (!options.explain.empty()) {
        written = written
            && writeOrReport(options.explain, explainConfiguration(*answers, configuration));
    }
    if (!options.settings.empty()) {
        written = written && writeTrial(options, *answers, document);
    }
    return written ? 0 : ExitCannotWrite;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app(
        "Generates a configuration from answers about services, regions and data centres.");
    app.footer(
        "Exit codes: 0 success, 2 answers missing, unreadable or invalid, 3 cannot write a file,\n"
        "100-199 invalid command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    Options options;
    app.add_option("--answers", options.answers,
                   "JSON file with the answers; default is an interactive questionnaire");
    app.add_option("--output", options.output,
                   "output file for the configuration; default is standard output");
    app.add_option("--explain", options.explain,
                   "output file for a Markdown page with the reason for each value");
    app.add_option("--settings", options.settings,
                   "output directory for the settings of daemons in a trial on one host");
    app.add_option("--first-port", options.firstPort, "port of the first daemon of the trial")
        ->check(CLI::Range(1024, 60'000));
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
