// Endpoints in settings and on command lines.
#pragma once

#include "decisions/Member.h"

#include <optional>
#include <string_view>

namespace Coltsfootwell {

/// Rule for error messages when parseEndpointArgument() fails.
constexpr std::string_view EndpointRule = "must have the form \"IP address:port\"";

/// \param text "IP address:port".
/// \return the endpoint, or std::nullopt if the text has another form or the IP address is invalid.
std::optional<Endpoint> parseEndpointArgument(std::string_view text);

} // namespace Coltsfootwell
