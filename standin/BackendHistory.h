// History of runs as JSON lines, so that checkers can compare what callers saw with what ran.
#pragma once

#include "kernel/Time.h"

#include <fstream>
#include <string>
#include <string_view>

namespace Coltsfootwell::Standin {

/// \brief What the history says of one run.
struct RunFacts
{
    std::uint64_t run = 0;
    std::string path;
    std::string method;
    std::string key;
    std::string order;
    std::string depth;
    std::string homeRegions;
};

/// \brief Writes a "begin" and an "end" line for each run. The first is flushed before the work
/// starts, so that a killed server leaves no run unrecorded.
class BackendHistory
{
public:
    /// \param path file to append to; empty writes nothing.
    /// \param service name of the service in each line.
    BackendHistory(const std::string &path, std::string service);

    /// \return false when the file cannot be written.
    bool good() const { return !m_wanted || m_file.good(); }

    /// \param event "begin", "end", or "fell" for a call that a cold server could not bear.
    /// \param facts the run.
    /// \param state condition of the server, or at the end how the run ended.
    /// \param inUse calls in progress.
    /// \param now monotonic time.
    void write(std::string_view event, const RunFacts &facts, std::string_view state,
               unsigned inUse, TimePoint now);

private:
    bool m_wanted;
    std::string m_service;
    std::ofstream m_file;
};

} // namespace Coltsfootwell::Standin
