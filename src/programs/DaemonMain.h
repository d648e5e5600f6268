// The daemon's main function, apart from main() so that tests can run it with other strategies.
#pragma once

#include "programs/Daemon.h"

namespace Coltsfootwell {

/// \brief Reads the command line and the settings and runs the daemon until it is stopped.
/// \param argc number of arguments.
/// \param argv arguments of the program.
/// \param strategies rules that tests replace.
/// \return the exit code.
int daemonMain(int argc, char **argv, const DaemonStrategies &strategies);

} // namespace Coltsfootwell
