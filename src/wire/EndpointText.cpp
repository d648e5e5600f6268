#include "wire/EndpointText.h"

#include "wire/ParseNumber.h"

namespace Coltsfootwell {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    return port ? std::optional(Endpoint {std::string(text.substr(0, colon)), *port})
                : std::nullopt;
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

} // namespace Coltsfootwell
