// Opens listening sockets. Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/Member.h"

#include <boost/asio/ip/tcp.hpp>

#include <system_error>

namespace Coltsfootwell::Internal {

/// \brief Opens an acceptor and starts listening.
/// \param endpoint address and port to listen on.
/// \return ServiceError::BadAddress if the address cannot be parsed, ServiceError::AddressInUse if
/// any other step fails, or no error.
std::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace Coltsfootwell::Internal
