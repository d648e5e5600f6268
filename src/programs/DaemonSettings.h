// Settings of the daemon, read from a JSON file.
#pragma once

#include "decisions/Member.h"
#include "wire/JsonFault.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief How a daemon reaches the log.
struct LogSettings
{
    /// Address of the log service; empty for a daemon without a log.
    std::string address;
    /// True when this daemon runs the log of a single site, at `address`.
    bool embedded = false;
    std::chrono::seconds retention {24 * 3600};
    /// Most records of a stream that the log keeps; 0 for no limit.
    std::uint64_t retentionRecords = 0;
};

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
    LogSettings log;
};

/// \brief Decodes settings.
/// \param text JSON text.
/// \param fault first violation when ec is set.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
DaemonSettings decodeSettings(std::string_view text, JsonFault &fault, std::error_code &ec);

} // namespace Coltsfootwell
