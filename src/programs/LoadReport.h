// What the load tool has seen: histogram, counts, and the JSON report and SVG plot made of them.
#pragma once

#include "programs/LoadHistogram.h"

#include <map>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief How one call ended.
struct LoadResult
{
    std::string call;
    std::string order;
    std::string kind;
    /// Intended time of sending and end, in ns of the monotonic clock.
    std::int64_t begin = 0;
    std::int64_t end = 0;
    /// HTTP status, or 0 when no whole answer came.
    unsigned status = 0;
    /// Value of the header; "broken" when no answer came, "not-sent" when nothing was sent.
    std::string outcome;
    std::string reason;
    std::string servedBy;
    std::uint64_t answerBytes = 0;
    std::string answerHash;
    bool whole = false;
    /// True when the answer belongs to another call.
    bool crossed = false;
    unsigned tries = 0;
    std::string target;
};

/// \brief Counts and latencies of a run of the tool.
struct LoadSummary
{
    std::uint64_t planned = 0;
    std::vector<LoadResult> results;

    /// \return results by the text that a function gives for each.
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

/// \return "outcome" or "outcome/reason".
std::string outcomeText(const LoadResult &result);

/// \return the report as JSON text.
std::string loadReportJson(const LoadSummary &summary);

/// \return one JSON line of the history.
std::string loadHistoryLine(const LoadResult &result);

/// \return a plot of latency over time and the histogram, as SVG.
std::string loadPlotSvg(const LoadSummary &summary);

} // namespace Coltsfootwell
