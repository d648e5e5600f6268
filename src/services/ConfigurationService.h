// The service "configuration": keeps the version in force and tells the other services of it.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param initial version in force at the start, or null.
/// \return the service, not started.
std::unique_ptr<Service> makeConfigurationService(Kernel &kernel, ConfigurationPtr initial);

} // namespace Coltsfootwell
