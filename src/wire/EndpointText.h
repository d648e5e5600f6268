// Endpoints as text of the form "IP address:port".
#pragma once

#include "decisions/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param text "IP address:port"; the IP address itself is not validated.
/// \return the endpoint, or std::nullopt if the text has another form.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// \return "IP address:port".
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace Coltsfootwell
