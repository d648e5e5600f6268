// Explains requests from the log lines of several daemons.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief One log line.
struct LogLine
{
    std::int64_t timeMs = 0;
    std::string daemon;
    std::string event;
    std::string request;
    /// Further fields.
    std::map<std::string, std::string, std::less<>> fields;
};

/// \param text one line; anything before "timeMs=" is passed over.
/// \param line set on success.
/// \return false for a line that is none of a daemon's.
bool parseLogLine(std::string_view text, LogLine &line);

/// \brief What the lines of one request say.
struct Diagnosis
{
    /// Short name of the cause, for counting; empty for a call that was answered in time.
    std::string cause;
    /// One sentence.
    std::string sentence;
};

/// \param lines of one request, in time order.
Diagnosis diagnose(const std::vector<LogLine> &lines);

/// \brief Lines of log files, by request.
class LogExplainer
{
public:
    /// \brief Reads lines until the end.
    /// \param in lines of one or several daemons.
    /// \param name of the file, for messages.
    void read(std::istream &in, const std::string &name);

    /// \brief Prints the history of a request and its verdict.
    /// \return false when no line names the request.
    bool explain(std::string_view request, std::ostream &out) const;

    /// \brief Prints the causes of all failed requests by count, and how many ends of calls the
    /// daemons have left out of their logs.
    void summary(std::ostream &out) const;

    /// \return lines that could not be read, as "file:line".
    const std::vector<std::string> &badLines() const { return m_badLines; }

private:
    /// Counts lines that a daemon has left out.
    void countOmitted(const LogLine &line);

    std::map<std::string, std::vector<LogLine>, std::less<>> m_requests;
    /// Lines on the ends of calls that daemons have left out, by their weight.
    std::map<std::string, std::uint64_t, std::less<>> m_omittedEnds;
    std::vector<std::string> m_badLines;
};

} // namespace Coltsfootwell
