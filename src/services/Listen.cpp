#include "services/Listen.h"

#include "services/ServiceError.h"

namespace Coltsfootwell::Internal {

std::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    namespace asio = boost::asio;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec) {
        return ServiceError::BadAddress;
    }
    const asio::ip::tcp::endpoint listen(address, endpoint.port);
    acceptor.open(listen.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(listen, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return ec ? make_error_code(ServiceError::AddressInUse) : std::error_code();
}

} // namespace Coltsfootwell::Internal
