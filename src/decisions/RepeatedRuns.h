// Records which runs of this daemon's backend server are repeats, so that the calls they make are
// charged to the retry budget.
#pragma once

#include "kernel/Time.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Identifiers of the requests that this daemon's backend server recently ran as a repeat.
///
/// Without it, retries multiply along a chain of services: the calls of a repeated run would count
/// as first attempts at the next service and earn budget for further retries.
class RepeatedRuns
{
public:
    /// Time for which a repeated run is recorded. Longer runs are rare; their later calls count as
    /// first attempts.
    static constexpr std::chrono::seconds RetentionTime {5};
    /// Maximum number of recorded runs; bounds the memory if a fault repeats all calls.
    static constexpr std::size_t MaxRuns = 10'000;

    /// \brief Records a repeated run.
    /// \param requestId request identifier of the run.
    void add(std::string requestId, TimePoint now);

    /// \param requestId request identifier of the run that makes a call; empty if unknown.
    /// \return true if the run is a repeat.
    bool contains(std::string_view requestId, TimePoint now);

private:
    struct Entry
    {
        std::string requestId;
        TimePoint addedAt;
    };

    void evictExpired(TimePoint now);

    std::deque<Entry> m_entries;
    /// Number of entries for each request, because a request can be repeated more than once.
    std::unordered_map<std::string, std::size_t> m_counts;
};

} // namespace Coltsfootwell
