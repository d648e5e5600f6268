#include "services/RunFeedback.h"

#include "services/BackendLimits.h"

namespace Coltsfootwell {

namespace {

constexpr unsigned GatewayTimeout = 504;

bool isUsual(BackendTracker &state, TimePoint now)
{
    return state.health.slowness(now) < SlowThresholdPercent && !state.pacer.isCold(now);
}

RunOutcome judge(bool cancelled, const ExchangeOutcome &outcome)
{
    using Kind = ExchangeOutcome::Kind;
    switch (outcome.kind) {
    case Kind::Answered:
        if (outcome.marks.notRun || outcome.marks.wrongInstance) {
            return RunOutcome::Shed;
        }
        if (outcome.status == GatewayTimeout) {
            return RunOutcome::Inconclusive;
        }
        return outcome.status >= FirstServerError || !outcome.marks.trusted ? RunOutcome::Failure
                                                                            : RunOutcome::Success;
    case Kind::Unreachable:
        return RunOutcome::Unreachable;
    case Kind::Lost:
        return cancelled ? RunOutcome::Inconclusive : RunOutcome::Lost;
    case Kind::Unsent:
    case Kind::StaleConnection:
        break;
    }
    return RunOutcome::Inconclusive;
}

} // namespace

RunStartConditions captureStartConditions(BackendTracker &state, const SlotQueue &slots,
                                          bool nested, TimePoint now)
{
    return {now, slots.inUse(), nested ? CallOrigin::BackendServer : CallOrigin::Caller,
            isUsual(state, now)};
}

void recordRun(BackendTracker &state, const SlotQueue &slots, const RunStartConditions &start,
               bool cancelled, const ExchangeOutcome &outcome, TimePoint now)
{
    if (const auto &load = outcome.marks.load) {
        state.health.slownessReported(load->slowness, now);
    }
    const RunOutcome end = judge(cancelled, outcome);
    const Duration elapsed = now - start.at;
    state.health.runEnded(end, elapsed, now, start.origin);
    if (end == RunOutcome::Success && start.origin == CallOrigin::Caller && start.comparable
        && isUsual(state, now)) {
        state.crowding.runEnded(start.inUse, slots.slots(), elapsed, now);
    }
    if (outcome.marks.wrongInstance) {
        // Another process has the address; its own heartbeat will say what it is.
        state.health.runEnded(RunOutcome::Unreachable, {}, now);
    }
}

} // namespace Coltsfootwell
