// The service "stop": leads the daemon through a planned stop.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Settings of the service.
struct StopCoordinatorSettings
{
    /// Time for callers and peers to learn of the stop while calls are still taken.
    std::chrono::milliseconds leaveTime {3000};
    /// Longest duration of the whole stop.
    std::chrono::milliseconds longest {30'000};
    /// Called once at the end.
    Task left;
};

/// \param kernel stopped at the end of the leave time.
/// \param settings see StopCoordinatorSettings.
/// \return the service, not started. Register it first, so that it stops last.
std::unique_ptr<Service> makeStopCoordinator(Kernel &kernel, StopCoordinatorSettings settings);

} // namespace Coltsfootwell
