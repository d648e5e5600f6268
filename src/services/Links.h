// The service "links": carries attempts, answers and news of load between daemons.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service.
struct LinksSettings
{
    /// TCP address to listen on.
    Endpoint listen;
    DaemonId self;
};

/// \param kernel gives the executor and the directory.
/// \param context runs the connections.
/// \param settings see LinksSettings.
/// \return the service, not started.
std::unique_ptr<Service> makeLinks(Kernel &kernel, boost::asio::io_context &context,
                                   LinksSettings settings);

} // namespace Coltsfootwell
