// Remembers which runs beside this daemon are repeats, so that the calls that they make count as
// such.
#pragma once

#include "kernel/Time.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Requests whose run beside this daemon began as a repeat a short while ago.
///
/// Load pattern: a service repeats its calls, and each repeated run calls the next service, whose
/// daemons would take these calls for first ones and allow further repeats for them.
class RepeatedRuns
{
public:
    /// Runs that last longer are rare, and their later calls then count as first ones.
    static constexpr std::chrono::seconds Lifetime {5};
    /// Bounds the memory when a fault repeats everything.
    static constexpr std::size_t MaxRuns = 10'000;

    /// \param requestId request whose repeated run begins.
    void add(std::string requestId, TimePoint now);

    /// \param requestId request whose run makes a call; empty when it is unknown.
    /// \return true when that run is a repeat.
    bool contains(std::string_view requestId, TimePoint now);

private:
    struct Entry
    {
        std::string requestId;
        TimePoint at;
    };

    void expire(TimePoint now);

    std::deque<Entry> m_entries;
    /// Number of entries of each request: a request can be repeated more than once.
    std::unordered_map<std::string, std::size_t> m_counts;
};

} // namespace Coltsfootwell
