// Data types of the configuration that operators publish, independent of its encoding.
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

/// \brief Limits on the load of a backend server while it is cold, for example shortly after its
/// start.
struct ColdStart
{
    /// Maximum number of concurrent calls to a cold server; applies only without `callsPerSecond`.
    unsigned initialSlots = 1;
    /// Maximum rate of calls to a cold server, in calls per second; 0 if the service does not
    /// specify one.
    double callsPerSecond = 0;
    /// Time from a server's start until it is warm; zero if the service does not specify one.
    std::chrono::milliseconds duration {0};
};

/// \brief Settings of a service, that is, of a group of interchangeable backend servers.
struct ServiceRules
{
    /// Configured number of concurrent calls to one backend server. Daemons apply the number that
    /// the server announces.
    unsigned slots = 8;
    /// Deadline of calls that specify none.
    std::chrono::milliseconds defaultDeadline {1000};
    ColdStart coldStart;
    /// Maximum rate of health probes to one backend server, in probes per second.
    double probesPerSecond = 2.0;
    /// Path of the probes, at which backend servers report their health and load.
    std::string healthPath = "/load";
};

/// \brief One target of a weighted traffic split.
struct WeightedService
{
    std::string service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// \brief Routing rule for calls whose path begins with a prefix.
struct Route
{
    /// Unique name; empty if the route has none.
    std::string name;
    /// Host header that a call must have; empty to match every host.
    std::string host;
    std::string prefix;
    std::string service;
    /// Weighted split of the calls between services; empty if all calls go to `service`.
    std::vector<WeightedService> split;
    std::vector<std::string> idempotentMethods;
    /// True if every call may run more than once, regardless of its method.
    bool idempotent = false;
    /// Regions that may serve the call; empty for all regions.
    std::vector<std::string> homeRegions;
    /// Maximum time until the caller gets an answer; zero for no limit.
    std::chrono::milliseconds timeout {0};
    /// Time by which an answer has its full value; zero if the route has no objective.
    std::chrono::milliseconds objective {0};
    /// Maximum number of backend servers that one call may run on.
    unsigned maxAttempts = 3;
    /// Priority among the calls of a service; 0 is the highest.
    unsigned priority = 0;
};

/// \brief Limits on the size and duration of one HTTP request.
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

/// \brief One version of the configuration; immutable once it has been accepted.
struct Configuration
{
    ConfigurationVersion version = 0;
    std::map<std::string, DataCentreRules, std::less<>> dataCentres;
    std::map<std::string, ServiceRules, std::less<>> services;
    std::vector<Route> routes;
    /// Home regions by customer; customers without home regions are absent.
    std::map<std::string, std::vector<std::string>, std::less<>> customerRegions;
    /// Names of the daemons whose backend servers are drained by operators.
    std::set<std::string, std::less<>> drained;
    RequestLimits requestLimits;

    /// \param path path of a call, with or without its query.
    /// \return the route without a host whose prefix is the longest match at a path segment
    /// boundary, or null.
    const Route *routeFor(std::string_view path) const;

    /// \param host host of a call without its port.
    /// \param path path of a call, with or without its query.
    /// \return the route for the host, or for every host, with the longest matching prefix, or
    /// null.
    const Route *routeFor(std::string_view host, std::string_view path) const;

    /// \param dataCentre name of a data centre.
    /// \return false if the data centre is unknown or out of service.
    bool inService(std::string_view dataCentre) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Coltsfootwell
