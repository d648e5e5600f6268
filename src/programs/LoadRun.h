// Open-loop load generator: calls are sent at planned times, whether or not earlier ones have
// ended.
#pragma once

#include "decisions/Member.h"
#include "programs/LoadMix.h"
#include "programs/LoadReport.h"

#include <functional>

namespace Coltsfootwell {

/// \brief Parameters of a run of the load generator.
struct LoadPlan
{
    std::vector<LoadCallKind> mix;
    /// Daemons to call initially.
    std::vector<Endpoint> targets;
    /// True to call only these daemons and discover no others.
    bool fixedTargets = false;
    /// Mean rate of calls.
    double callsPerSecond = 100;
    /// Time during which calls are sent.
    std::chrono::milliseconds duration {5000};
    /// Seed of the random numbers for intervals, kinds and targets.
    std::uint64_t seed = 1;
    /// Maximum number of calls in flight; further calls are counted as "not-sent".
    unsigned maxInFlight = 2000;
    /// Called with the result of each call when it ends.
    std::function<void(const LoadResult &)> onResult;
};

/// \brief Sends the planned calls and waits until all of them have ended or timed out.
LoadSummary runLoad(const LoadPlan &plan);

} // namespace Coltsfootwell
