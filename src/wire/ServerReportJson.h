// JSON answers of a backend server's load endpoint.
#pragma once

#include "decisions/Member.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief State and load as reported by a backend server. It may be outdated or wrong.
struct ServerReport
{
    /// Warm for a server that reports "ready".
    BackendState state = BackendState::Warm;
    /// Slots in use; std::nullopt if the server reports none.
    std::optional<std::uint32_t> inUse;
};

/// \brief Decodes {"state": "ready|cold|draining", "inUse": n}, where "inUse" is optional.
/// \param text JSON text.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
ServerReport decodeServerReport(std::string_view text, std::error_code &ec);

} // namespace Coltsfootwell
