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

/// \brief Registers all services of a daemon.
/// \param kernel gets the services; not started yet.
/// \param context runs their sockets.
/// \param settings the daemon's settings.
/// \param initial configuration in force at the start, or null.
/// \param minIncarnation lowest incarnation to take.
/// \param conflict called when another process with the daemon's name has a higher incarnation.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial,
                       Incarnation minIncarnation,
                       std::function<void(const IncarnationConflict &)> conflict);

} // namespace Coltsfootwell
