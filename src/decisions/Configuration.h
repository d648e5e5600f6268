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

/// \brief What a daemon that cannot learn of newer configurations does with new work.
enum class IsolationPolicy {
    Refuse,
    Serve,
};

/// \brief How a backend server is loaded while it is cold.
struct ColdStart
{
    unsigned initialSlots = 1;
    unsigned growAfterAnswers = 10;
};

/// \brief Backend servers of one kind and the rules for calls to them.
struct ServiceRules
{
    unsigned slots = 8;
    unsigned connections = 64;
    std::chrono::milliseconds defaultDeadline {1000};
    std::uint64_t maxBodyBytes = 16ULL << 20;
    ColdStart coldStart;
    double probesPerSecond = 2.0;
    IsolationPolicy whenIsolated = IsolationPolicy::Refuse;
};

/// \brief Calls whose path begins with a prefix.
struct Route
{
    std::string prefix;
    std::string service;
    std::vector<std::string> idempotentMethods;
    /// Empty when every region may serve the call.
    std::vector<std::string> homeRegions;
};

struct DataCentreRules
{
    std::string region;
    bool inService = true;
};

/// \brief Shares and budgets that hold for the whole system.
struct Limits
{
    double retryShare = 0.1;
    std::uint64_t regionLinkBytesPerSecond = 3'000'000;
    std::chrono::milliseconds freshness {2500};
};

/// \brief One version of the configuration; never changed after it was accepted.
struct Configuration
{
    ConfigurationVersion version = 0;
    std::string logRegion;
    std::map<std::string, DataCentreRules, std::less<>> dataCentres;
    std::map<std::string, ServiceRules, std::less<>> services;
    std::vector<Route> routes;
    /// Home regions of tenants that have any.
    std::map<std::string, std::vector<std::string>, std::less<>> tenantRegions;
    /// Names of daemons whose backend server operators have drained.
    std::set<std::string, std::less<>> drained;
    Limits limits;

    /// \param path path of a call.
    /// \return the route with the longest prefix of the path that ends at a path segment, or null.
    const Route *routeFor(std::string_view path) const;

    /// \param dataCentre name of a data centre.
    /// \return false when it is unknown or taken out of service.
    bool inService(std::string_view dataCentre) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Coltsfootwell
