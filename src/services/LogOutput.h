// Writes log lines to standard output through Boost.Log without ever blocking.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Directs Boost.Log to standard output. Must be called once per process.
void openLog();

/// \param daemon name of the daemon.
/// \param event name of the event.
/// \param request id of the request that the event belongs to; empty for none.
/// \param fields further fields in the form "key=value key=value"; may be empty.
/// \return a line with the present time, for writeLog().
std::string formatLogLine(std::string_view daemon, std::string_view event, std::string_view request,
                          std::string_view fields);

/// \brief Writes one line, or drops it if the reader of standard output is too slow.
/// \param line text without the line feed.
void writeLog(std::string_view line);

/// \brief Writes one line past all buffers, or drops it if that would block. May be called from a
/// signal handler.
/// \param line text with its line feed, at most PIPE_BUF bytes.
void writeLogUnbuffered(std::string_view line);

/// \brief Makes text of a caller usable as the value of one field of a line.
/// \param text any bytes.
/// \return the text, at most 120 bytes, in which "?" replaces spaces and unprintable bytes, so that
/// it cannot add fields to the line.
std::string logValue(std::string_view text);

/// \return number of lines dropped since the start of the process.
std::uint64_t droppedLogLines();

} // namespace Coltsfootwell
