// Settings of the daemon, read from a JSON file.
#pragma once

#include "decisions/Member.h"
#include "wire/JsonFault.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief One daemon's settings.
struct DaemonSettings
{
    std::string id;
    std::string region;
    std::string dataCentre;
    Endpoint listen;
    std::vector<Endpoint> seeds;
    /// File with the configuration to start from; empty when it comes from the log.
    std::string configurationFile;
};

/// \brief Decodes settings.
/// \param text JSON text.
/// \param fault first violation when ec is set.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
DaemonSettings decodeSettings(std::string_view text, JsonFault &fault, std::error_code &ec);

} // namespace Coltsfootwell
