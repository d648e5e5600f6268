// Listens for requests to the daemon itself, such as health checks, metrics and heartbeats, and
// passes each on to the mailbox that answers its path.
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
    /// Name of the service.
    std::string name;
    Endpoint listen;
};

/// \brief A request to /NAME or /NAME/REST goes to the mailbox of ControlRequest with the name
/// ServiceName::control(NAME).
/// \param kernel gives the executor and the directory.
/// \param context runs the sockets.
/// \param settings see ControlListenerSettings.
/// \return the service, not started.
std::unique_ptr<Service> makeControlListener(Kernel &kernel, boost::asio::io_context &context,
                                             ControlListenerSettings settings);

} // namespace Coltsfootwell
