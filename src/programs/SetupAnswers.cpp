#include "programs/SetupAnswers.h"

#include "wire/HttpDialect.h"
#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace Coltsfootwell {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr double MaxOneWayMs = 1000;
/// The configuration allows no more.
constexpr double MaxDeadlineMs = 600'000;

std::string nameRule(const std::string &name)
{
    const bool good = !name.empty() && name.size() <= MaxNameLength
        && std::ranges::all_of(
            name, [](unsigned char c) { return std::islower(c) || std::isdigit(c) || c == '-'; });
    return good ? "" : "must be a name of 1 to 63 lower-case letters, digits and hyphens";
}

std::string anyText(const std::string &answer)
{
    return answer.empty() ? "must not be empty" : "";
}

/// \return a rule that allows only the given names.
AnswerRule oneOf(const std::vector<std::string> &names)
{
    return [&names](const std::string &answer) -> std::string {
        if (std::ranges::find(names, answer) != names.end()) {
            return {};
        }
        std::string all;
        for (const std::string &name : names) {
            all += (all.empty() ? "" : ", ") + name;
        }
        return "must be one of: " + all;
    };
}

/// Asks for a list that must not be empty.
std::vector<std::string> names(Questioner &ask, Question question, std::set<std::string> &taken)
{
    std::vector<std::string> result;
    question.text += " (comma-separated)";
    ask.text(std::move(question), [&](const std::string &answer) -> std::string {
        result = splitList(answer);
        std::set<std::string> seen = taken;
        for (const std::string &name : result) {
            if (std::string rule = nameRule(name); !rule.empty()) {
                return rule;
            }
            if (!seen.insert(name).second) {
                return "must not name " + name + " twice";
            }
        }
        return result.empty() ? "must name at least one" : "";
    });
    taken.insert(result.begin(), result.end());
    return result;
}

unsigned count(Questioner &ask, Question question, double from, double to)
{
    return static_cast<unsigned>(std::floor(ask.number(std::move(question), from, to)));
}

ServiceAnswers askService(Questioner &ask, const SetupAnswers &answers, const std::string &name,
                          std::set<std::string> &prefixes)
{
    static const std::vector<std::string> methods {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    const std::string id = "/service/" + name + '/';
    const std::string of = " of " + name;
    ServiceAnswers service;
    service.name = name;
    service.workers = count(ask, {id + "workers", "Number of workers" + of, {}}, 1, 1000);
    service.slots
        = count(ask, {id + "slots", "Calls that a worker" + of + " serves at once", {}}, 1, 10'000);
    service.answerMs = ask.number({id + "answerMs", "Typical time of one call" + of + " in ms", {}},
                                  0.01, 600'000);
    // Shorter deadlines would pass before a call to the other region can be answered.
    const double shortest = std::ceil(2 * service.answerMs + 2 * answers.regionsMs);
    service.deadlineMs
        = count(ask, {id + "deadlineMs", "Deadline of a call" + of + " without its own, in ms", {}},
                shortest, MaxDeadlineMs);
    service.coldCalls
        = count(ask, {id + "coldCalls", "Calls at once that a worker" + of + " bears cold", "1"}, 1,
                service.slots);
    service.prefix = ask.text(
        {id + "path", "Prefix of the paths" + of, '/' + name},
        [&](const std::string &answer) -> std::string {
            if (!answer.starts_with('/') || (answer.size() > 1 && answer.ends_with('/'))) {
                return "must start with \"/\" and not end with it";
            }
            return prefixes.contains(answer) ? "must not be the path of another service" : "";
        });
    prefixes.insert(service.prefix);
    service.idempotentMethods = ask.list(
        {id + "idempotentMethods", "Methods" + of + " that may run twice without harm", "GET,HEAD"},
        oneOf(methods));
    service.homeRegions = ask.list(
        {id + "homeRegions",
         "Regions that the data" + of + " must not leave (empty for no restriction)", ""},
        oneOf(answers.regions));
    return service;
}

} // namespace

SetupAnswers askSetup(AnswerSource &source, std::optional<AnswerFault> &fault)
{
    Questioner ask(source);
    SetupAnswers answers;
    std::set<std::string> regions;
    std::set<std::string> dataCentres;
    std::set<std::string> services;
    std::set<std::string> prefixes;
    answers.company = ask.text({"/company", "Name of the company", {}}, anyText);
    answers.regions = names(ask, {"/regions", "Names of the regions", {}}, regions);
    for (const std::string &region : answers.regions) {
        answers.dataCentres[region]
            = names(ask, {"/dataCentres/" + region, "Data centres of " + region, {}}, dataCentres);
    }
    answers.dataCentresMs
        = ask.number({"/oneWayMs/dataCentres", "One-way latency between data centres in ms", {}}, 0,
                     MaxOneWayMs);
    answers.regionsMs = ask.number(
        {"/oneWayMs/regions", "One-way latency between regions in ms", {}}, 0, MaxOneWayMs);
    answers.clientsMs
        = ask.number({"/oneWayMs/clients", "One-way latency to clients in ms", {}}, 0, MaxOneWayMs);
    for (const std::string &name :
         names(ask, {"/services", "Names of the services", {}}, services)) {
        answers.services.push_back(askService(ask, answers, name, prefixes));
    }
    const std::vector<std::string> customerNames = ask.list(
        {"/customers", "Customers with home regions (comma-separated, may be empty)", ""},
        nameRule);
    for (const std::string &name : customerNames) {
        answers.customers[name]
            = ask.list({"/customer/" + name + "/homeRegions", "Home regions of " + name, {}},
                       oneOf(answers.regions));
    }
    fault = ask.fault();
    return answers;
}

} // namespace Coltsfootwell
