// The service "daemon-list": reports to callers which daemons accept calls, and the readiness and
// status of this daemon.
#pragma once

#include "decisions/Locality.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Creates the service "daemon-list".
/// \param kernel provides the executor and the service directory.
/// \param locality identity, region and data centre of this daemon.
/// \return the service, not yet started.
std::unique_ptr<Service> makeDaemonList(Kernel &kernel, Locality locality);

} // namespace Coltsfootwell
