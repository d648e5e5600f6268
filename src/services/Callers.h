// The service "callers": accepts HTTP connections from callers and forwards each request to the
// service that answers it.
#pragma once

#include "decisions/ConnectionLimit.h"
#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"
#include "wire/HttpDialect.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service "callers".
struct CallersSettings
{
    /// TCP address to listen on.
    Endpoint listen;
    DaemonId self;
    /// Header dialect of calls; must outlive the service.
    const HttpDialect *dialect = nullptr;
    /// True if the daemon itself answers paths below "/coltsfootwell/".
    bool servesControl = true;
    /// Maximum number of bytes of the requests that callers have sent and that are under way.
    std::size_t maxRequestBytes = 64ULL << 20;
    /// Maximum number of open connections of callers.
    std::size_t maxConnections = ConnectionLimit::callerShare(1024);
};

/// \param kernel provides the executor and the service directory.
/// \param context runs the sockets.
/// \return the service, not yet started.
std::unique_ptr<Service> makeCallers(Kernel &kernel, boost::asio::io_context &context,
                                     CallersSettings settings);

} // namespace Coltsfootwell
