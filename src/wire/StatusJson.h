// Answer of the control path "status".
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief What one daemon says of itself.
struct DaemonStatus
{
    DaemonId id;
    std::string region;
    std::string dataCentre;
    /// Version in force; 0 for none.
    ConfigurationVersion version = 0;
    /// True while it takes new calls.
    bool ready = false;
};

/// \param status any status.
/// \return its JSON text.
std::string encodeStatus(const DaemonStatus &status);

/// \param text answer of a daemon.
/// \return the status, or nothing when it is malformed.
std::optional<DaemonStatus> decodeStatus(std::string_view text);

} // namespace Coltsfootwell
