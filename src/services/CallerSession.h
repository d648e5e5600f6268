// One HTTP connection from a caller: keeps the order of its answers and decides when it closes.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/SessionContext.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace Coltsfootwell::Internal {

/// \brief Serves the requests of one connection until it is closed.
/// \param socket accepted connection.
/// \param context state shared with all other sessions.
void startSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);

} // namespace Coltsfootwell::Internal
