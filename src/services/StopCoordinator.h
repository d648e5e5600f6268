// The service "stop": runs the phases of a planned stop of the daemon.
#pragma once

#include "kernel/Kernel.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Settings of the service "stop".
struct StopCoordinatorSettings
{
    /// Time in which the announcement of the stop propagates to callers and peers, while calls are
    /// still accepted.
    std::chrono::milliseconds leaveTime {3000};
    /// Maximum duration of the whole stop, including `leaveTime`.
    std::chrono::milliseconds maxDuration {30'000};
    /// Called once, when the stop is complete or `maxDuration` has elapsed.
    Task onStopped;
};

/// \brief Creates the service "stop".
/// \param kernel kernel that is stopped at the end of the leave time.
/// \param settings see StopCoordinatorSettings.
/// \return the service, not yet started. It must be registered first, so that it stops last.
std::unique_ptr<Service> makeStopCoordinator(Kernel &kernel, StopCoordinatorSettings settings);

} // namespace Coltsfootwell
