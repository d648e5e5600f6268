// Explains the outcome of requests from the log lines of several daemons.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief One log line of a daemon.
struct LogLine
{
    std::int64_t timeMs = 0;
    std::string daemon;
    std::string event;
    std::string request;
    /// All other fields.
    std::map<std::string, std::string, std::less<>> fields;
};

/// \brief Parses a log line.
/// \param text one line; a prefix before "timeMs=" is skipped.
/// \param line set on success; unspecified otherwise.
/// \return false if the text is not a log line of a daemon.
bool parseLogLine(std::string_view text, LogLine &line);

/// \brief Outcome of one request and its cause.
struct Diagnosis
{
    /// Short name of the cause, for counting; empty for a call that was answered in time.
    std::string cause;
    /// One English sentence.
    std::string explanation;
};

/// \param lines log lines of one request, in chronological order.
Diagnosis diagnose(const std::vector<LogLine> &lines);

/// \brief Collects the log lines of daemons by request and explains them.
class LogExplainer
{
public:
    /// \brief Reads log lines up to the end of the stream.
    /// \param in log lines of one or several daemons.
    /// \param name name of the file, for unparsableLines().
    void read(std::istream &in, const std::string &name);

    /// \brief Prints the log lines of a request and its diagnosis. If there is none, prints when
    /// daemons were not running.
    /// \return false if there is no log line of the request.
    bool explain(std::string_view request, std::ostream &out) const;

    /// \brief Prints the number of requests for each cause, the number of times that daemons
    /// started again, and the number of call.ended lines that they omitted from their logs. Calls
    /// that other runs made are counted apart.
    void printSummary(std::ostream &out) const;

    /// \return lines that could not be parsed, as "file:line".
    const std::vector<std::string> &unparsableLines() const { return m_unparsableLines; }

private:
    /// The end of a daemon and its next start.
    struct Restart
    {
        std::string daemon;
        /// Unix times in milliseconds of its last line and of its next start.
        std::int64_t lastMs = 0;
        std::int64_t startedMs = 0;
        /// True if it had announced its stop.
        bool planned = false;
    };

    /// What the lines of one daemon have told so far.
    struct DaemonLines
    {
        std::int64_t lastMs = 0;
        bool stopping = false;
    };

    void recordRestarts(const LogLine &line);
    void explainMissing(std::ostream &out) const;

    /// Adds the count of a log.omitted line for the event call.ended.
    void countOmittedLines(const LogLine &line);

    std::map<std::string, std::vector<LogLine>, std::less<>> m_requests;
    /// Numbers of omitted call.ended lines, by their weight ("important" or "routine").
    std::map<std::string, std::uint64_t, std::less<>> m_omittedCallEnds;
    std::map<std::string, DaemonLines, std::less<>> m_daemons;
    std::vector<Restart> m_restarts;
    std::vector<std::string> m_unparsableLines;
};

} // namespace Coltsfootwell
