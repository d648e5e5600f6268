#include "programs/SetupPlan.h"

#include "programs/PrettyJson.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Design limits of probing: at most 2 probes/s, and at most 1% of the slots' time.
constexpr double MaxProbesPerSecond = 2;
constexpr double MaxProbeShare = 0.01;
constexpr double MsPerSecond = 1000;
constexpr std::size_t MaxSeeds = 3;

double probesFor(const ServiceAnswers &service)
{
    const double callsPerSecond = service.slots * MsPerSecond / service.answerMs;
    return std::min(MaxProbesPerSecond, MaxProbeShare * callsPerSecond);
}

ServiceRules rulesFor(const ServiceAnswers &service)
{
    ServiceRules rules;
    rules.slots = service.slots;
    rules.defaultDeadline = std::chrono::milliseconds(service.deadlineMs);
    rules.coldStart.initialSlots = service.coldCalls;
    rules.probesPerSecond = probesFor(service);
    return rules;
}

struct Worker
{
    std::string id;
    std::string region;
    std::string dataCentre;
    std::string service;
    unsigned slots;
};

/// Spreads the workers of each service over the data centres that may serve it, one region after
/// the other.
std::vector<Worker> workersOf(const SetupAnswers &answers)
{
    std::vector<Worker> workers;
    for (const ServiceAnswers &service : answers.services) {
        std::vector<std::pair<std::string, std::string>> places;
        std::size_t most = 0;
        for (const auto &[region, dataCentres] : answers.dataCentres) {
            most = std::max(most, dataCentres.size());
        }
        for (std::size_t i = 0; i < most; ++i) {
            for (const std::string &region : answers.regions) {
                const auto &homes = service.homeRegions;
                const auto &dataCentres = answers.dataCentres.at(region);
                const bool home = homes.empty() || std::ranges::find(homes, region) != homes.end();
                if (home && i < dataCentres.size()) {
                    places.emplace_back(region, dataCentres[i]);
                }
            }
        }
        for (unsigned i = 0; i < service.workers; ++i) {
            const auto &[region, dataCentre] = places[i % places.size()];
            workers.push_back({dataCentre + '-' + service.name + '-' + std::to_string(i + 1),
                               region, dataCentre, service.name, service.slots});
        }
    }
    return workers;
}

} // namespace

Configuration planConfiguration(const SetupAnswers &answers)
{
    Configuration configuration;
    configuration.version = 1;
    for (const auto &[region, dataCentres] : answers.dataCentres) {
        for (const std::string &name : dataCentres) {
            configuration.dataCentres[name] = {region, true};
        }
    }
    for (const ServiceAnswers &service : answers.services) {
        configuration.services[service.name] = rulesFor(service);
        Route &route = configuration.routes.emplace_back();
        route.prefix = service.prefix;
        route.service = service.name;
        route.idempotentMethods = service.idempotentMethods;
        route.homeRegions = service.homeRegions;
    }
    configuration.customerRegions.insert(answers.customers.begin(), answers.customers.end());
    return configuration;
}

std::vector<TrialFile> planTrial(const SetupAnswers &answers, const std::string &configurationFile,
                                 std::uint16_t firstPort)
{
    const std::vector<Worker> workers = workersOf(answers);
    std::vector<TrialFile> files;
    json::array seeds;
    for (std::size_t i = 0; i < std::min(MaxSeeds, workers.size()); ++i) {
        seeds.emplace_back("127.0.0.1:" + std::to_string(firstPort + i));
    }
    json::array list;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const Worker &worker = workers[i];
        const std::string listen = "127.0.0.1:" + std::to_string(firstPort + i);
        files.push_back(
            {worker.id + ".json",
             prettyJson(json::serialize(json::object {{"id", worker.id},
                                                      {"region", worker.region},
                                                      {"dataCentre", worker.dataCentre},
                                                      {"listen", listen},
                                                      {"seeds", seeds},
                                                      {"configurationFile", configurationFile}}))});
        list.emplace_back(json::object {{"settings", worker.id + ".json"},
                                        {"daemon", listen},
                                        {"service", worker.service},
                                        {"slots", worker.slots}});
    }
    files.push_back({"workers.json", prettyJson(json::serialize(list))});
    return files;
}

} // namespace Coltsfootwell
