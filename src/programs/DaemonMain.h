// Main function of the daemon, separate from main() so that tests can run it with other strategies.
#pragma once

#include "programs/Daemon.h"

namespace Coltsfootwell {

/// \brief Reads the command line and the settings, and runs the daemon until it stops.
/// \param argc number of command line arguments.
/// \param argv command line arguments.
/// \param strategies rules that tests may replace.
/// \return exit code of the process.
int daemonMain(int argc, char **argv, const DaemonStrategies &strategies);

} // namespace Coltsfootwell
