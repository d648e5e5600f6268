#include "programs/EndpointArgument.h"

#include "wire/EndpointText.h"

#include <boost/asio/ip/address.hpp>

namespace Coltsfootwell {

std::optional<Endpoint> parseEndpointArgument(std::string_view text)
{
    std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (endpoint) {
        boost::system::error_code ec;
        boost::asio::ip::make_address(endpoint->address, ec);
        if (ec) {
            endpoint.reset();
        }
    }
    return endpoint;
}

} // namespace Coltsfootwell
