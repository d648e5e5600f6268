// The service "stop": leads the daemon through a planned stop.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel stopped at the end of the grace time.
/// \param left called when everything has stopped.
/// \return the service, not started. Register it first, so that it stops last.
std::unique_ptr<Service> makeStop(Kernel &kernel, Task left);

} // namespace Coltsfootwell
