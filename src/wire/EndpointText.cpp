#include "wire/EndpointText.h"

#include "wire/TextNumber.h"

namespace Coltsfootwell {

std::optional<Endpoint> endpointFromText(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = numberFromText<std::uint16_t>(text.substr(colon + 1));
    return port ? std::optional(Endpoint {std::string(text.substr(0, colon)), *port})
                : std::nullopt;
}

std::string endpointText(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

} // namespace Coltsfootwell
