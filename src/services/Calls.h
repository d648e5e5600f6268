// The service "calls": carries out callers' calls with placement, attempts, retries and hedges.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Locality.h"
#include "decisions/RetryBudget.h"
#include "kernel/Kernel.h"

#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief Settings of the service.
struct CallsSettings
{
    Locality place;
    /// Service of the backend server beside this daemon, told to the servers that it calls.
    std::string ownService;
    RetryLimits retries;
    const Guards *guards = &FullGuards;
};

/// \param kernel gives the executor, randomness and the directory.
/// \param settings see CallsSettings.
/// \return the service, not started.
std::unique_ptr<Service> makeCalls(Kernel &kernel, CallsSettings settings);

} // namespace Coltsfootwell
