// Updates the estimates about the backend server from the results of runs.
#pragma once

#include "decisions/FailureAttribution.h"
#include "decisions/SlotQueue.h"
#include "services/BackendTracker.h"
#include "services/HttpExchange.h"

namespace Coltsfootwell {

/// \brief Conditions under which a run started.
struct RunStartConditions
{
    TimePoint at;
    /// Slots in use, including its own.
    unsigned inUse = 0;
    CallOrigin origin = CallOrigin::Caller;
    /// False if the server was slow or cold, or if the run has made nested calls. The time of such
    /// a run does not show how the number of concurrent runs affects the server.
    bool comparable = true;
};

/// \param nested true for a nested call, which another run makes.
/// \return the current conditions.
RunStartConditions captureStartConditions(BackendTracker &tracker, const SlotQueue &slots,
                                          bool nested, TimePoint now);

/// \brief Updates the health and the concurrency limit of the server from the result of a run.
/// \param cancelled true if the run was cancelled; a lost answer then does not count against the
/// server.
/// \param attribution tells whether a failure answer is a failure of the server.
void recordRun(BackendTracker &tracker, const SlotQueue &slots,
               const RunStartConditions &startConditions, bool cancelled,
               const FailureAttribution &attribution, const ExchangeOutcome &outcome,
               TimePoint now);

} // namespace Coltsfootwell
