// The service "calls": processes callers' calls by placement, attempts, retries and hedging.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Locality.h"
#include "decisions/RetryBudget.h"
#include "kernel/Kernel.h"

#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief Settings of the service "calls".
struct CallsSettings
{
    /// Identity, region and data centre of this daemon.
    Locality locality;
    /// Service of the local backend server, reported to the servers that it calls.
    std::string ownService;
    RetryLimits retries;
    const Guards *guards = &FullGuards;
};

/// \param kernel provides the executor, the random generator and the service directory.
/// \return the service, not yet started.
std::unique_ptr<Service> makeCalls(Kernel &kernel, CallsSettings settings);

} // namespace Coltsfootwell
