// The service "telemetry": metrics, spans and log lines.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param self this daemon, named in spans and log lines.
/// \return the service, not started.
std::unique_ptr<Service> makeTelemetry(Kernel &kernel, DaemonId self);

} // namespace Coltsfootwell
