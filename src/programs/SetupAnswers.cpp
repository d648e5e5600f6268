#include "programs/SetupAnswers.h"

#include "wire/HttpDialect.h"
#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace Coltsfootwell {

namespace {

constexpr std::size_t MaxNameBytes = 63;
constexpr double MaxOneWayMs = 1000;
/// Maximum deadline that the schema of the configuration allows.
constexpr double MaxDeadlineMs = 600'000;

std::string nameRule(const std::string &name)
{
    const bool valid = !name.empty() && name.size() <= MaxNameBytes
        && std::ranges::all_of(
            name, [](unsigned char c) { return std::islower(c) || std::isdigit(c) || c == '-'; });
    return valid ? "" : "must be a name of 1 to 63 lower-case letters, digits and hyphens";
}

std::string nonEmptyRule(const std::string &answer)
{
    return answer.empty() ? "must not be empty" : "";
}

/// \return a rule that accepts only the given names.
AnswerRule oneOf(const std::vector<std::string> &allowed)
{
    return [&allowed](const std::string &answer) -> std::string {
        if (std::ranges::find(allowed, answer) != allowed.end()) {
            return {};
        }
        std::string all;
        for (const std::string &name : allowed) {
            all += (all.empty() ? "" : ", ") + name;
        }
        return "must be one of: " + all;
    };
}

/// Asks for a non-empty list of names that are not used yet, and adds them to the used ones.
std::vector<std::string> askNames(Questioner &questioner, Question question,
                                  std::set<std::string> &usedNames)
{
    std::vector<std::string> result;
    question.text += " (comma-separated)";
    questioner.text(std::move(question), [&](const std::string &answer) -> std::string {
        result = splitList(answer);
        std::set<std::string> allNames = usedNames;
        for (const std::string &name : result) {
            if (std::string rule = nameRule(name); !rule.empty()) {
                return rule;
            }
            if (!allNames.insert(name).second) {
                return "must not name " + name + " twice";
            }
        }
        return result.empty() ? "must name at least one" : "";
    });
    usedNames.insert(result.begin(), result.end());
    return result;
}

unsigned askCount(Questioner &questioner, Question question, double from, double to)
{
    return static_cast<unsigned>(std::floor(questioner.number(std::move(question), from, to)));
}

ServiceAnswers askService(Questioner &questioner, const SetupAnswers &answers,
                          const std::string &name, std::set<std::string> &prefixes)
{
    static const std::vector<std::string> methods {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    const std::string id = "/service/" + name + '/';
    const std::string ofService = " of " + name;
    ServiceAnswers service;
    service.name = name;
    service.backendServers = askCount(
        questioner, {id + "workers", "Number of backend servers" + ofService, {}}, 1, 1000);
    service.slots = askCount(
        questioner,
        {id + "slots", "Slots of a backend server" + ofService + " (maximum concurrent calls)", {}},
        1, 10'000);
    service.answerMs = questioner.number(
        {id + "answerMs", "Typical time of one call" + ofService + " in ms", {}}, 0.01, 600'000);
    // With a shorter deadline a call to another region could not be answered in time.
    const double minDeadlineMs = std::ceil(2 * service.answerMs + 2 * answers.betweenRegionsMs);
    service.deadlineMs = askCount(
        questioner, {id + "deadlineMs", "Default deadline of a call" + ofService + " in ms", {}},
        minDeadlineMs, MaxDeadlineMs);
    service.coldCalls = askCount(
        questioner,
        {id + "coldCalls",
         "Maximum concurrent calls of a backend server" + ofService + " while it is cold", "1"},
        1, service.slots);
    service.prefix = questioner.text(
        {id + "path", "Prefix of the paths" + ofService, '/' + name},
        [&](const std::string &answer) -> std::string {
            if (!answer.starts_with('/') || (answer.size() > 1 && answer.ends_with('/'))) {
                return "must start with \"/\" and must not end with \"/\"";
            }
            return prefixes.contains(answer) ? "must not be the path of another service" : "";
        });
    prefixes.insert(service.prefix);
    service.idempotentMethods = questioner.list(
        {id + "idempotentMethods", "Methods" + ofService + " that are idempotent", "GET,HEAD"},
        oneOf(methods));
    service.homeRegions = questioner.list(
        {id + "homeRegions",
         "Home regions, which data" + ofService + " must not leave (empty for no restriction)", ""},
        oneOf(answers.regions));
    return service;
}

} // namespace

SetupAnswers askSetup(AnswerSource &source, std::optional<AnswerFault> &fault)
{
    Questioner questioner(source);
    SetupAnswers answers;
    std::set<std::string> regions;
    std::set<std::string> dataCentres;
    std::set<std::string> services;
    std::set<std::string> prefixes;
    answers.company = questioner.text({"/company", "Name of the company", {}}, nonEmptyRule);
    answers.regions = askNames(questioner, {"/regions", "Names of the regions", {}}, regions);
    for (const std::string &region : answers.regions) {
        answers.dataCentres[region] = askNames(
            questioner, {"/dataCentres/" + region, "Data centres of " + region, {}}, dataCentres);
    }
    answers.betweenDataCentresMs = questioner.number(
        {"/oneWayMs/dataCentres", "One-way latency between data centres in ms", {}}, 0,
        MaxOneWayMs);
    answers.betweenRegionsMs = questioner.number(
        {"/oneWayMs/regions", "One-way latency between regions in ms", {}}, 0, MaxOneWayMs);
    answers.toClientsMs = questioner.number(
        {"/oneWayMs/clients", "One-way latency to clients in ms", {}}, 0, MaxOneWayMs);
    for (const std::string &name :
         askNames(questioner, {"/services", "Names of the services", {}}, services)) {
        answers.services.push_back(askService(questioner, answers, name, prefixes));
    }
    const std::vector<std::string> customerNames = questioner.list(
        {"/customers", "Customers with home regions (comma-separated, may be empty)", ""},
        nameRule);
    for (const std::string &name : customerNames) {
        answers.customers[name]
            = questioner.list({"/customer/" + name + "/homeRegions", "Home regions of " + name, {}},
                              oneOf(answers.regions));
    }
    fault = questioner.fault();
    return answers;
}

} // namespace Coltsfootwell
