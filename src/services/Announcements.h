// The service "announcements": receives the announcements of backend servers that use the daemon's
// own interface, and passes them on as heartbeats.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Creates the service "announcements".
/// \param kernel provides the executor and the service directory.
/// \param address IP address of the backend server's host.
/// \return the service, not yet started.
std::unique_ptr<Service> makeAnnouncements(Kernel &kernel, std::string address);

} // namespace Coltsfootwell
