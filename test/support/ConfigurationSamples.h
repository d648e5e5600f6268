// Valid configurations for tests.
#pragma once

#include "decisions/ConfigurationFold.h"

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
    configuration->logRegion = "klang";
    configuration->dataCentres["klang-a"] = {"klang", true};
    configuration->dataCentres["penang-a"] = {"penang", true};
    configuration->services["bookings"].slots = slots;
    configuration->routes.push_back({"/bookings", "bookings", {"GET"}, {"klang"}});
    return configuration;
}

/// \return a publish of the version after a base.
inline PublishRecord samplePublish(ConfigurationVersion base, std::string author,
                                   unsigned slots = 4)
{
    return {author + std::to_string(base), base, base + 1, author,
            sampleConfiguration(base + 1, slots)};
}

/// \return the first output of one kind, or null.
template <typename Output>
const Output *firstOf(std::span<const FoldOutput> outputs)
{
    for (const FoldOutput &output : outputs) {
        if (const auto *found = std::get_if<Output>(&output)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace Coltsfootwell
