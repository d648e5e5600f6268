// Valid configurations for tests.
#pragma once

#include "decisions/Configuration.h"

#include <memory>
#include <string>

namespace Coltsfootwell {

/// \param version version of the configuration.
/// \param slots slots of its service; makes configurations with the same version distinct.
/// \return a configuration that satisfies the schema and all rules.
inline std::shared_ptr<Configuration> sampleConfiguration(ConfigurationVersion version,
                                                          unsigned slots = 4)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->dataCentres["klang-a"] = {"klang", true};
    configuration->dataCentres["penang-a"] = {"penang", true};
    configuration->services["bookings"].slots = slots;
    Route route;
    route.prefix = "/bookings";
    route.service = "bookings";
    route.idempotentMethods = {"GET"};
    route.homeRegions = {"klang"};
    configuration->routes.push_back(route);
    return configuration;
}

} // namespace Coltsfootwell
