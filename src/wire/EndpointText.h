// Endpoints as text, "IP number:port".
#pragma once

#include "decisions/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param text "IP number:port"; the IP number itself is not checked.
/// \return the endpoint, or nothing when the text has another form.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// \return "IP number:port".
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace Coltsfootwell
