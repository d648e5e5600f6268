// The state that operators have published, as JSON for operators.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>
#include <set>
#include <string>

namespace Coltsfootwell {

/// \brief State up to a position; see ControlState.
struct ControlSnapshot
{
    std::uint64_t position = 0;
    std::set<std::string> outOfService;
    /// Null when the sender has none.
    ConfigurationPtr configuration;
};

/// \param snapshot any state.
/// \return its JSON text.
std::string encodeSnapshot(const ControlSnapshot &snapshot);

} // namespace Coltsfootwell
