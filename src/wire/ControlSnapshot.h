// The control state that operators have published, as JSON for operators.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/StorePosition.h"

#include <set>
#include <string>

namespace Coltsfootwell {

/// \brief Control state up to a position; see ControlState.
struct ControlSnapshot
{
    StorePosition position;
    /// Names of data centres.
    std::set<std::string> outOfService;
    /// Null if no configuration has been published.
    ConfigurationPtr configuration;
};

/// \return JSON text of an object with the members "position", "epoch", "out" and "configuration".
std::string encodeSnapshot(const ControlSnapshot &snapshot);

} // namespace Coltsfootwell
