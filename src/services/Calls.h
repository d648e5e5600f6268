// The service "calls": carries out callers' calls with routing, attempts, retries and revocations.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Routing.h"
#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor, randomness and the directory.
/// \param place this daemon.
/// \param guards rules in force; outlives the service.
/// \return the service, not started.
std::unique_ptr<Service> makeCalls(Kernel &kernel, Place place, const Guards &guards = FullGuards);

} // namespace Coltsfootwell
