// The service "log": reaches the platform's log for other services.
#pragma once

#include "kernel/Kernel.h"
#include "services/LogClient.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param client reaches the log.
/// \return the service, not started.
std::unique_ptr<Service> makeLogAccess(Kernel &kernel, std::unique_ptr<LogClient> client);

} // namespace Coltsfootwell
