// The service "resources": reports the memory and the descriptors of the process, and what the
// parts of the daemon hold.
#pragma once

#include "kernel/Kernel.h"

#include <cstddef>
#include <memory>

namespace Coltsfootwell {

/// \param kernel provides the executor and the service directory.
/// \param maxMemoryBytes memory that the process may take.
/// \return the service, not yet started.
std::unique_ptr<Service> makeResources(Kernel &kernel, std::size_t maxMemoryBytes);

} // namespace Coltsfootwell
