// What the end of a run tells about the backend server.
#pragma once

#include "decisions/SlotQueue.h"
#include "services/BackendTracker.h"
#include "services/HttpExchange.h"

namespace Coltsfootwell {

constexpr unsigned FirstServerError = 500;

/// \brief Circumstances in which a run has started.
struct RunStartConditions
{
    TimePoint at;
    /// Slots in use, its own included.
    unsigned inUse = 0;
    CallOrigin origin = CallOrigin::Caller;
    /// False when the server was slow or cold, or the run has made calls of its own: then its time
    /// says nothing of how crowded the server was.
    bool comparable = true;
};

/// \param nested true for a call of another run.
/// \return the circumstances at this moment.
RunStartConditions captureStartConditions(BackendTracker &state, const SlotQueue &slots,
                                          bool nested, TimePoint now);

/// \brief Updates speed, failures and crowding of the server.
/// \param cancelled true when the caller did not want the answer any more.
void recordRun(BackendTracker &state, const SlotQueue &slots, const RunStartConditions &start,
               bool cancelled, const ExchangeOutcome &outcome, TimePoint now);

} // namespace Coltsfootwell
