// The last log line of a daemon, which tells why its process ends.
//
// Without it an exit on purpose, an exception, a signal and a process killed for its memory look
// the same in the log. Only the last one, SIGKILL, leaves no such line.
#pragma once

#include <string_view>

namespace Coltsfootwell {

/// \brief Logs from now on an exception that nothing catches, and a fatal signal (SIGSEGV, SIGBUS,
/// SIGFPE, SIGILL or SIGABRT). The process then ends as it would have without the log line.
/// \param daemon name of the daemon.
void logUnexpectedEnd(std::string_view daemon);

/// \brief Logs an exit on purpose.
/// \param daemon name of the daemon.
/// \param code exit code of the process.
/// \param reason reason of the exit.
/// \param fields further fields in the form "key=value key=value"; may be empty.
void logExit(std::string_view daemon, int code, std::string_view reason,
             std::string_view fields = {});

} // namespace Coltsfootwell
