// The service "callers": takes HTTP connections from callers and passes each request on to the
// service that answers it.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"
#include "wire/HttpDialect.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service.
struct CallersSettings
{
    Endpoint listen;
    DaemonId self;
    /// Spelling of calls; outlives the service.
    const HttpDialect *dialect = nullptr;
    /// True when paths below "/coltsfootwell/" are answered by the daemon itself.
    bool servesControl = true;
};

/// \param kernel gives the executor and the directory.
/// \param context runs the sockets.
/// \param settings address to listen on.
/// \return the service, not started.
std::unique_ptr<Service> makeCallers(Kernel &kernel, boost::asio::io_context &context,
                                     CallersSettings settings);

} // namespace Coltsfootwell
