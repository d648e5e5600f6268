// Writes log lines to standard output through Boost.Log, without ever waiting for the reader.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Directs Boost.Log to standard output. Called once in a process.
void openLog();

/// \brief Writes one line; it is dropped when the reader is too slow.
/// \param line without its end.
void writeLog(std::string_view line);

/// \return lines that were dropped since the start.
std::uint64_t droppedLogLines();

} // namespace Coltsfootwell
