// Run history of the stand-in backend server as JSON lines. Checkers compare it with the outcomes
// that callers received.
#pragma once

#include "kernel/Time.h"

#include <fstream>
#include <string>
#include <string_view>

namespace Coltsfootwell::Standin {

/// \brief Attributes of a run that are written to the history. Missing headers and query values
/// are empty.
struct RunRecord
{
    /// Sequence number of the run in this process.
    std::uint64_t id = 0;
    /// Request target, including the query.
    std::string target;
    std::string method;
    /// Identifies the attempt of the caller.
    std::string requestId;
    /// Value of "order" in the query, which identifies the call in the checks.
    std::string orderId;
    /// Nesting depth of the call.
    std::string depth;
    std::string homeRegions;
};

/// \brief Writes a "begin" and an "end" line for each run. The "begin" line is flushed before the
/// work starts, so that no run is missing when the server is killed.
class BackendHistory
{
public:
    /// \param path file to which lines are appended; empty disables the history.
    /// \param service name of the service, which is written to each line.
    BackendHistory(const std::string &path, std::string service);

    /// \return false if the history is enabled and the file cannot be written.
    bool isWritable() const { return !m_enabled || m_file.good(); }

    /// \brief Appends a line and flushes it.
    /// \param event "begin", "end", "load" when the load report is read, or "fell" for a call that
    /// crashed a cold server or arrived before the server had recovered.
    /// \param run attributes of the run; default values for "load".
    /// \param state state of the server, or for "end" the way in which the run ended.
    /// \param inUse number of slots in use.
    /// \param now monotonic time.
    void write(std::string_view event, const RunRecord &run, std::string_view state, unsigned inUse,
               TimePoint now);

private:
    bool m_enabled;
    std::string m_service;
    std::ofstream m_file;
};

} // namespace Coltsfootwell::Standin
