#include "services/RunFeedback.h"

#include "services/BackendLimits.h"

namespace Coltsfootwell {

namespace {

constexpr unsigned StatusGatewayTimeout = 504;

bool isNormalSpeed(BackendTracker &tracker, TimePoint now)
{
    return tracker.health.slowness(now) < SlowThresholdPercent
        && !tracker.coldRateLimiter.isCold(now);
}

RunOutcome classify(bool cancelled, const FailureAttribution &attribution,
                    const ExchangeOutcome &outcome)
{
    using Kind = ExchangeOutcome::Kind;
    switch (outcome.kind) {
    case Kind::Answered:
        if (outcome.envelope.notRun || outcome.envelope.wrongInstance) {
            return RunOutcome::Shed;
        }
        if (outcome.status == StatusGatewayTimeout) {
            return RunOutcome::Inconclusive;
        }
        if (outcome.status >= FirstServerErrorStatus && outcome.envelope.trusted) {
            return attribution.isServerFailure(true) ? RunOutcome::Failure
                                                     : RunOutcome::Inconclusive;
        }
        return outcome.envelope.trusted ? RunOutcome::Success : RunOutcome::Failure;
    case Kind::Unreachable:
        return RunOutcome::Unreachable;
    case Kind::Lost:
        return cancelled || outcome.lostInMemoryWait ? RunOutcome::Inconclusive : RunOutcome::Lost;
    case Kind::Unsent:
    case Kind::StaleConnection:
        break;
    }
    return RunOutcome::Inconclusive;
}

} // namespace

RunStartConditions captureStartConditions(BackendTracker &tracker, const SlotQueue &slots,
                                          bool nested, TimePoint now)
{
    return {now, slots.inUse(), nested ? CallOrigin::BackendServer : CallOrigin::Caller,
            isNormalSpeed(tracker, now)};
}

void recordRun(BackendTracker &tracker, const SlotQueue &slots,
               const RunStartConditions &startConditions, bool cancelled,
               const FailureAttribution &attribution, const ExchangeOutcome &outcome, TimePoint now)
{
    if (const auto &load = outcome.envelope.load) {
        tracker.health.slownessReported(load->slownessPercent, now);
    }
    const RunOutcome runOutcome = classify(cancelled, attribution, outcome);
    // The server is not slow while nothing is read from it.
    const Duration elapsed = now - startConditions.at - outcome.memoryWaitTime;
    tracker.health.runEnded(runOutcome, elapsed, now, startConditions.origin);
    if (runOutcome == RunOutcome::Success && startConditions.origin == CallOrigin::Caller
        && startConditions.comparable && isNormalSpeed(tracker, now)) {
        tracker.concurrencyLimit.runEnded(startConditions.inUse, slots.slots(), elapsed, now);
    }
    if (outcome.envelope.wrongInstance) {
        // Another process uses the address; its own heartbeat will register it.
        tracker.health.runEnded(RunOutcome::Unreachable, {}, now);
    }
}

} // namespace Coltsfootwell
