// Puts the services of one daemon together.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Registers all services of a daemon.
/// \param kernel gets the services; not started yet.
/// \param context runs their sockets.
/// \param settings the daemon's settings.
/// \param initial configuration in force at the start, or null.
/// \param left called at the end of a planned stop.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial, Task left);

} // namespace Coltsfootwell
