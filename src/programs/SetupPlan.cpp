#include "programs/SetupPlan.h"

#include "programs/PrettyJson.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Maximum rate of probes (health checks) of one backend server.
constexpr double MaxProbesPerSecond = 2;
/// Maximum fraction of the calls that the slots of a backend server can serve that may be probes.
constexpr double MaxProbeFraction = 0.01;
constexpr double MsPerSecond = 1000;
constexpr std::size_t MaxSeeds = 3;

double probeRateFor(const ServiceAnswers &service)
{
    const double callsPerSecond = service.slots * MsPerSecond / service.answerMs;
    return std::min(MaxProbesPerSecond, MaxProbeFraction * callsPerSecond);
}

ServiceRules rulesFor(const ServiceAnswers &service)
{
    ServiceRules rules;
    rules.slots = service.slots;
    rules.defaultDeadline = std::chrono::milliseconds(service.deadlineMs);
    rules.coldStart.initialSlots = service.coldCalls;
    rules.probesPerSecond = probeRateFor(service);
    return rules;
}

struct BackendServer
{
    std::string id;
    std::string region;
    std::string dataCentre;
    std::string service;
    unsigned slots;
};

/// Distributes the backend servers of each service over the data centres in which it may run,
/// alternating between regions.
std::vector<BackendServer> placeBackendServers(const SetupAnswers &answers)
{
    std::vector<BackendServer> backendServers;
    for (const ServiceAnswers &service : answers.services) {
        std::vector<std::pair<std::string, std::string>> locations;
        std::size_t maxDataCentres = 0;
        for (const auto &[region, dataCentres] : answers.dataCentres) {
            maxDataCentres = std::max(maxDataCentres, dataCentres.size());
        }
        for (std::size_t i = 0; i < maxDataCentres; ++i) {
            for (const std::string &region : answers.regions) {
                const auto &homeRegions = service.homeRegions;
                const auto &dataCentres = answers.dataCentres.at(region);
                const bool allowed = homeRegions.empty()
                    || std::ranges::find(homeRegions, region) != homeRegions.end();
                if (allowed && i < dataCentres.size()) {
                    locations.emplace_back(region, dataCentres[i]);
                }
            }
        }
        for (unsigned i = 0; i < service.backendServers; ++i) {
            const auto &[region, dataCentre] = locations[i % locations.size()];
            backendServers.push_back({dataCentre + '-' + service.name + '-' + std::to_string(i + 1),
                                      region, dataCentre, service.name, service.slots});
        }
    }
    return backendServers;
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
    const std::vector<BackendServer> backendServers = placeBackendServers(answers);
    std::vector<TrialFile> files;
    json::array seeds;
    for (std::size_t i = 0; i < std::min(MaxSeeds, backendServers.size()); ++i) {
        seeds.emplace_back("127.0.0.1:" + std::to_string(firstPort + i));
    }
    json::array serverList;
    for (std::size_t i = 0; i < backendServers.size(); ++i) {
        const BackendServer &server = backendServers[i];
        const std::string listen = "127.0.0.1:" + std::to_string(firstPort + i);
        files.push_back(
            {server.id + ".json",
             prettyJson(json::serialize(json::object {{"id", server.id},
                                                      {"region", server.region},
                                                      {"dataCentre", server.dataCentre},
                                                      {"listen", listen},
                                                      {"seeds", seeds},
                                                      {"configurationFile", configurationFile}}))});
        serverList.emplace_back(json::object {{"settings", server.id + ".json"},
                                              {"daemon", listen},
                                              {"service", server.service},
                                              {"slots", server.slots}});
    }
    files.push_back({"workers.json", prettyJson(json::serialize(serverList))});
    return files;
}

} // namespace Coltsfootwell
