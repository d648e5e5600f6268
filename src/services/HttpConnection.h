// One connection to an HTTP server, in use or idle.
// Only for .cpp files: it includes Asio and Beast.
#pragma once

#include "services/HttpIo.h"

namespace Coltsfootwell::Internal {

/// Idle time after which a server that does not say otherwise may have closed a connection.
constexpr Duration AssumedIdleLimit = std::chrono::seconds(8);

struct HttpConnection
{
    explicit HttpConnection(asio::io_context &context) : socket(context) { }

    tcp::socket socket;
    beast::flat_buffer buffer;
    TimePoint lastUsed {};
    Duration idleLimit = AssumedIdleLimit;
    bool connected = false;
    /// True while a request is being written; the connection must not be used again before.
    bool writing = false;
};

} // namespace Coltsfootwell::Internal
