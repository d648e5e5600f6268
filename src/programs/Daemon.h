// Puts the services of one daemon together.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"
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

/// \brief Registers all services of a daemon.
/// \param kernel gets the services; not started yet.
/// \param context runs their sockets.
/// \param settings the daemon's settings.
/// \param initial configuration in force at the start, or null.
/// \param minIncarnation lowest incarnation to take.
/// \param events see DaemonEvents.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial,
                       Incarnation minIncarnation, DaemonEvents events);

} // namespace Coltsfootwell
