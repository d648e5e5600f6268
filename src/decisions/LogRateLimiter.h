// Limits the rate of log lines.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief Number of omitted lines of one event and weight.
struct OmittedLines
{
    std::string event;
    /// True for lines of LogWeight::Important.
    bool important = false;
    std::uint64_t lines = 0;
};

/// \brief A token bucket for each event and weight, so that the first line of an event is always
/// written.
class LogRateLimiter
{
public:
    /// Maximum sustained rate of the routine lines of one event, in lines per second.
    static constexpr double RoutineLinesPerSecond = 4;
    /// Maximum sustained rate of the important lines of one event, in lines per second.
    static constexpr double ImportantLinesPerSecond = 100;
    /// Capacity of a bucket, in seconds at the sustained rate.
    static constexpr double BurstSeconds = 4;

    /// \brief Takes a token for a line.
    /// \param event name of the event.
    /// \param important true for lines of LogWeight::Important.
    /// \return true if the line may be written; otherwise it is counted as omitted.
    bool allows(std::string_view event, bool important, TimePoint now);

    /// \return numbers of the lines omitted since the previous call of this function.
    std::vector<OmittedLines> takeOmitted();

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint lastRefill {};
        std::uint64_t omitted = 0;
    };

    std::map<std::pair<std::string, bool>, Bucket> m_buckets;
};

} // namespace Coltsfootwell
