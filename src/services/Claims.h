// The service "claims": finds the owner of a caller-minted key on the log.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor, randomness and the directory.
/// \param self this daemon, for which keys are claimed.
/// \return the service, not started.
std::unique_ptr<Service> makeClaims(Kernel &kernel, DaemonId self);

} // namespace Coltsfootwell
