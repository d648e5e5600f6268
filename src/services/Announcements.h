// The service "announcements": takes what backend servers of the daemon's own interface say of
// themselves.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param address IP number of the backend server's host.
/// \return the service, not started.
std::unique_ptr<Service> makeAnnouncements(Kernel &kernel, std::string address);

} // namespace Coltsfootwell
