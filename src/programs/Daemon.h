// Puts the services of one daemon together.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Guards.h"
#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"
#include "services/ConfigurationService.h"
#include "services/Membership.h"

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief What a daemon tells the program that runs it.
struct DaemonEvents
{
    /// Called at the end of a planned stop.
    Task left;
    /// Called when another process with the daemon's name has a higher incarnation.
    std::function<void(const IncarnationConflict &)> conflict;
};

/// \brief Rules that tests switch off to show that a check fails without them.
struct DaemonStrategies
{
    const Guards *guards = &FullGuards;
    /// Changes what services are told of the configuration; nothing by default.
    ConfigurationFilter configurationFilter = nullptr;
    /// False ends the process at a signal without a planned stop.
    bool plannedStop = true;
};

/// \brief Registers all services of a daemon.
/// \param kernel gets the services; not started yet.
/// \param context runs their sockets.
/// \param settings the daemon's settings.
/// \param initial configuration in force at the start, or null.
/// \param minIncarnation lowest incarnation to take.
/// \param events see DaemonEvents.
/// \param strategies see DaemonStrategies.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial,
                       Incarnation minIncarnation, DaemonEvents events,
                       const DaemonStrategies &strategies);

} // namespace Coltsfootwell
