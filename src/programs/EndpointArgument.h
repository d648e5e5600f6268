// Endpoints that people write in settings and on command lines.
#pragma once

#include "decisions/Member.h"

#include <optional>
#include <string_view>

namespace Coltsfootwell {

/// Rule that a message names when parseEndpointArgument() gives nothing.
constexpr std::string_view EndpointRule = "must have the form \"IP number:port\"";

/// \param text "IP number:port".
/// \return the endpoint, or nothing when the text has another form or names no IP number.
std::optional<Endpoint> parseEndpointArgument(std::string_view text);

} // namespace Coltsfootwell
