// The service "daemon-list": tells callers which daemons take calls, and whether this one does.
#pragma once

#include "decisions/Locality.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param place this daemon.
/// \return the service, not started.
std::unique_ptr<Service> makeDaemonList(Kernel &kernel, Locality place);

} // namespace Coltsfootwell
