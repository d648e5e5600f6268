// Answer of a backend server's load endpoint, as JSON.
#pragma once

#include "decisions/Member.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// Path of the load endpoint of backend servers.
constexpr std::string_view LoadEndpointPath = "/load";

/// \brief What a backend server says of itself. It may lag or mislead.
struct ServerReport
{
    /// Warm for a server that is ready.
    BackendState state = BackendState::Warm;
    std::optional<std::uint32_t> inUse;
};

/// \brief Decodes {"state": "ready|cold|draining", "inUse": n}.
/// \param text JSON text.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
ServerReport decodeServerReport(std::string_view text, std::error_code &ec);

} // namespace Coltsfootwell
