// HTTP listener for requests to the daemon itself, such as health checks, metrics and heartbeats.
// Routes each request by its path to the mailbox of the service that answers it.
#pragma once

#include "decisions/Member.h"
#include "kernel/Kernel.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of one listener.
struct ControlListenerSettings
{
    /// Name of the listener's service, such as "admin".
    std::string name;
    /// TCP address to listen on.
    Endpoint listen;
};

/// \brief Creates a listener. It sends a request for /NAME or /NAME/REST to the mailbox of
/// ControlRequest that is published as ServiceName::control(NAME).
/// \param kernel provides the executor and the service directory.
/// \param context runs the sockets.
/// \param settings see ControlListenerSettings.
/// \return the service, not yet started.
std::unique_ptr<Service> makeControlListener(Kernel &kernel, boost::asio::io_context &context,
                                             ControlListenerSettings settings);

} // namespace Coltsfootwell
