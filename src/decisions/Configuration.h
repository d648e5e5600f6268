// The configuration that operators publish, as the decisions use it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

using ConfigurationVersion = std::uint64_t;

/// \brief How a backend server is loaded while it is cold.
struct ColdStart
{
    unsigned initialSlots = 1;
    /// Calls per second that a cold server bears; 0 when the service does not say.
    double callsPerSecond = 0;
    /// How long a server stays cold after its start; zero when the service does not say.
    std::chrono::milliseconds duration {0};
};

/// \brief Backend servers of one kind and the rules for calls to them.
struct ServiceRules
{
    unsigned slots = 8;
    std::chrono::milliseconds defaultDeadline {1000};
    ColdStart coldStart;
    double probesPerSecond = 2.0;
    /// Path that backend servers answer with their health and load.
    std::string healthPath = "/load";
};

/// \brief One of several services that share the calls of a route.
struct WeightedService
{
    std::string service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// \brief Calls whose path begins with a prefix.
struct Route
{
    /// Unique name; empty when the route has none.
    std::string name;
    /// Host header of its calls; empty for every host.
    std::string host;
    std::string prefix;
    std::string service;
    /// Services that share its calls by weight; empty when `service` gets all.
    std::vector<WeightedService> split;
    std::vector<std::string> idempotentMethods;
    /// True when every call may run more than once, whatever its method.
    bool idempotent = false;
    /// Empty when every region may serve the call.
    std::vector<std::string> homeRegions;
    /// Longest time that a caller is kept waiting; zero for no limit.
    std::chrono::milliseconds timeout {0};
    /// Time within which an answer has its full value; zero when the route has no objective.
    std::chrono::milliseconds objective {0};
    /// Most backend servers that one call may run on.
    unsigned maxAttempts = 3;
    /// Rank among the calls of a service; 0 goes first.
    unsigned priority = 0;
};

/// \brief What one HTTP request may be like.
struct RequestLimits
{
    std::uint64_t headerBytes = 32 * 1024;
    std::uint64_t bodyBytes = 16ULL << 20;
    std::chrono::milliseconds headerTimeout {10'000};
    std::chrono::milliseconds idleTimeout {60'000};
};

struct DataCentreRules
{
    std::string region;
    bool inService = true;
};

/// \brief One version of the configuration; never changed after it was accepted.
struct Configuration
{
    ConfigurationVersion version = 0;
    std::map<std::string, DataCentreRules, std::less<>> dataCentres;
    std::map<std::string, ServiceRules, std::less<>> services;
    std::vector<Route> routes;
    /// Home regions of customers that have any.
    std::map<std::string, std::vector<std::string>, std::less<>> customerRegions;
    /// Names of daemons whose backend server operators have drained.
    std::set<std::string, std::less<>> drained;
    RequestLimits requestLimits;

    /// \param path path of a call.
    /// \return the route with the longest prefix of the path that ends at a path segment, or null.
    const Route *routeFor(std::string_view path) const;

    /// \param host host of a call without its port.
    /// \param path path of a call.
    /// \return the route of that host with the longest prefix of the path, or null.
    const Route *routeFor(std::string_view host, std::string_view path) const;

    /// \param dataCentre name of a data centre.
    /// \return false when it is unknown or taken out of service.
    bool inService(std::string_view dataCentre) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Coltsfootwell
