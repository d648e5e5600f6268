// Results of the load tool and their output as JSON report, JSON history and SVG plot.
#pragma once

#include "programs/LoadHistogram.h"

#include <map>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Result of one call.
struct LoadResult
{
    /// Unique id of the call.
    std::string call;
    /// Id that is sent with the call and echoed in its answer.
    std::string order;
    /// Name of the LoadCallKind.
    std::string kind;
    /// Intended time of sending, in ns of the monotonic clock; a latency is the time from it to
    /// `end`.
    std::int64_t intendedStart = 0;
    /// End of the call, in ns of the monotonic clock.
    std::int64_t end = 0;
    /// HTTP status; 0 if no header of an answer was received.
    unsigned status = 0;
    /// Value of the header for the outcome; "none" for an answer without it, "broken" without a
    /// complete answer, "not-sent" if nothing was sent.
    std::string outcome;
    std::string reason;
    std::string servedBy;
    std::uint64_t answerBytes = 0;
    /// Hexadecimal hash of the body.
    std::string answerHash;
    /// True if the whole answer was received.
    bool complete = false;
    /// True if the answer belongs to another call.
    bool crossed = false;
    /// Tries to send the call, including retries; 0 if the limit of calls in flight was reached.
    unsigned tries = 0;
    /// Endpoint of the daemon that was called last.
    std::string target;
};

/// \brief Results of a run of the load tool.
struct LoadSummary
{
    /// Number of calls, including those that were not sent.
    std::uint64_t planned = 0;
    std::vector<LoadResult> results;

    /// \param key returns the group of a result as text.
    /// \return number of results in each group.
    template <typename Key>
    std::map<std::string, std::uint64_t> countBy(Key key) const
    {
        std::map<std::string, std::uint64_t> counts;
        for (const LoadResult &result : results) {
            ++counts[key(result)];
        }
        return counts;
    }
};

/// \return "outcome", or "outcome/reason" if there is a reason.
std::string formatOutcome(const LoadResult &result);

/// \return the report as JSON text.
std::string encodeLoadReport(const LoadSummary &summary);

/// \return one JSON line of the history.
std::string encodeHistoryLine(const LoadResult &result);

/// \return SVG document with a plot of latency over time and a histogram.
std::string renderLoadPlot(const LoadSummary &summary);

} // namespace Coltsfootwell
