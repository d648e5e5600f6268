// JSON answers of the control path "/coltsfootwell/status".
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Status that a daemon reports about itself.
struct DaemonStatus
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /// Version of the active configuration; 0 for none.
    ConfigurationVersion version = 0;
    /// True while the daemon accepts new calls.
    bool ready = false;
};

/// \return the status as JSON text.
std::string encodeStatus(const DaemonStatus &status);

/// \param text JSON answer of a daemon.
/// \return the status, or std::nullopt if it is malformed.
std::optional<DaemonStatus> decodeStatus(std::string_view text);

} // namespace Coltsfootwell
