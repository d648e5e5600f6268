// The service "daemon-list": tells callers which daemons they can use, and whether this one is
// ready.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \return the service, not started; it answers the paths "daemons" and "health".
std::unique_ptr<Service> makeDaemonList(Kernel &kernel);

} // namespace Coltsfootwell
