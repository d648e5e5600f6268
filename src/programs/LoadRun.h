// Open-loop load: calls are sent at planned times, whether or not earlier ones have ended.
#pragma once

#include "decisions/Member.h"
#include "programs/LoadMix.h"
#include "programs/LoadReport.h"

#include <functional>

namespace Coltsfootwell {

/// \brief What to send, where and for how long.
struct LoadPlan
{
    std::vector<LoadCallKind> mix;
    /// Daemons to start with.
    std::vector<Endpoint> targets;
    /// True to call no other daemons than these.
    bool fixedTargets = false;
    double callsPerSecond = 100;
    std::chrono::milliseconds duration {5000};
    std::uint64_t seed = 1;
    /// Calls in progress at once; calls above it count as "not-sent".
    unsigned maxInProgress = 2000;
    /// Called with each result as soon as it is known.
    std::function<void(const LoadResult &)> ended;
};

/// \brief Runs the load to its end, with all calls finished or timed out.
/// \param plan what to send.
/// \return all results.
LoadSummary runLoad(const LoadPlan &plan);

} // namespace Coltsfootwell
