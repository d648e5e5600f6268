// The service "telemetry": collects metrics and serves them over HTTP, and writes the log.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Creates the service "telemetry".
/// \param kernel provides the executor and the service directory.
/// \param self id of this daemon, for log lines.
/// \return the service, not yet started.
std::unique_ptr<Service> makeTelemetry(Kernel &kernel, DaemonId self);

} // namespace Coltsfootwell
