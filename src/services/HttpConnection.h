// One connection to an HTTP server, in use or idle.
// Include only from .cpp files, since it includes Asio and Beast.
#pragma once

#include "services/HttpIo.h"

#include <string>
#include <vector>

namespace Coltsfootwell::Internal {

/// Idle timeout that is assumed for servers that do not announce one in the header "Keep-Alive".
constexpr Duration DefaultIdleTimeout = std::chrono::seconds(8);

/// Maximum number of received bytes that are not parsed yet: a header, a trailer or an extension of
/// a chunk. Bodies are parsed as they arrive.
constexpr std::size_t MaxBufferedBytes = 128 * 1024;

/// \brief A connection with its read buffer.
struct HttpConnection
{
    explicit HttpConnection(asio::io_context &context) : socket(context) { }

    tcp::socket socket;
    beast::flat_buffer buffer {MaxBufferedBytes};
    TimePoint lastUsed {};
    /// Idle time after which the server closes the connection.
    Duration serverIdleTimeout = DefaultIdleTimeout;
    bool connected = false;
    /// True once an answer on this connection has named its request. An answer that names none then
    /// belongs to no request.
    bool namesRequests = false;
    /// Ids of requests that were answered here and may be sent again. They are not sent over this
    /// connection, where a late copy of that answer would match.
    std::vector<std::string> answeredIds;
    /// True while a request is being written; the connection must not be reused before that ends.
    bool writing = false;
};

} // namespace Coltsfootwell::Internal
