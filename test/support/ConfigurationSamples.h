// Valid configurations for tests.
#pragma once

#include "decisions/Configuration.h"

#include <memory>
#include <string>

namespace Coltsfootwell {

/// \param version version written into the configuration.
/// \param slots tells versions with the same number apart.
/// \return a configuration that keeps all rules.
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
