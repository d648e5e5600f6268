// Opens listening sockets. Only for .cpp files: it includes Asio.
#pragma once

#include "decisions/Member.h"

#include <boost/asio/ip/tcp.hpp>

#include <system_error>

namespace Coltsfootwell::Internal {

/// \param acceptor opened.
/// \param endpoint address and port to listen on.
/// \return ServiceError::BadAddress or ServiceError::AddressInUse, or no error.
std::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace Coltsfootwell::Internal
