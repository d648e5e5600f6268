// Decides which log lines are written when there are too many.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief Lines of one event and weight that were left out.
struct OmittedLines
{
    std::string event;
    /// See LogWeight.
    bool important = false;
    std::uint64_t lines = 0;
};

/// \brief A token bucket for each event and weight. The first line of an event is always written.
class LogRateLimiter
{
public:
    static constexpr double RoutineLinesPerSecond = 4;
    static constexpr double ImportantLinesPerSecond = 40;
    /// Lines saved up, as a multiple of the lines of one second.
    static constexpr double BurstSeconds = 4;

    /// \param event name of the event.
    /// \param important see LogWeight.
    /// \return true when the line is to be written.
    bool allows(std::string_view event, bool important, TimePoint now);

    /// \return what was left out since the last call.
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
