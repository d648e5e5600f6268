// What daemons tell each other of the state that operators have published, as JSON.
#pragma once

#include "decisions/Configuration.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief State up to a position; see ControlState.
struct ControlSnapshot
{
    std::uint64_t position = 0;
    std::set<std::string> out;
    /// Null when the sender has none.
    ConfigurationPtr configuration;
};

/// \param snapshot any state.
/// \return its JSON text.
std::string encodeSnapshot(const ControlSnapshot &snapshot);

/// \param text answer of a daemon.
/// \return the state, or nothing when it is malformed.
std::optional<ControlSnapshot> decodeSnapshot(std::string_view text);

} // namespace Coltsfootwell
