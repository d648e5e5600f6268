// Generates configurations of any size in the format of the users' platform.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Random.h"

#include <cstdio>
#include <string>

namespace Coltsfootwell::Testing {

/// \param version version of the configuration.
/// \param routes number of routes.
/// \return the JSON text of a configuration in the format of the users' platform.
inline std::string publishedConfigurationJson(ConfigurationVersion version, std::size_t routes)
{
    constexpr std::uint64_t NameSeed = 20261204;
    SeededRandom names(NameSeed);
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", static_cast<unsigned>(version));
    std::string text = R"({"version":")" + std::string(digits) + R"(","routes":[)";
    for (std::size_t i = 0; i < routes; ++i) {
        const std::string name = std::to_string(names.below(1'000'000'000));
        // Makes the content of each version different.
        const std::string timeout = i == 0 ? std::to_string(version) + ".5" : "1.5";
        text += std::string(i == 0 ? "" : ",") + R"({"name":"route-)" + name
            + R"(","host":"host.example","pathPrefix":"/p)" + name
            + R"(/","service":"stock","kind":"idempotent","timeoutS":)" + timeout
            + R"(,"targetLatencyS":0.5,"maxAttempts":2,"priority":2,"allowedRegions":[]})";
    }
    return text + R"(],"services":[{"name":"stock","healthPath":"/health"}]})";
}

} // namespace Coltsfootwell::Testing
