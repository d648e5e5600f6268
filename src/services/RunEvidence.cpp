#include "services/RunEvidence.h"

#include "services/BackendLimits.h"

namespace Coltsfootwell {

namespace {

constexpr unsigned GatewayTimeout = 504;

bool isUsual(BackendStateView &state, TimePoint now)
{
    return state.health.slowness(now) < SlowPercent && !state.pacer.isCold(now);
}

RunEnd judge(bool cancelled, const ExchangeOutcome &outcome)
{
    using Kind = ExchangeOutcome::Kind;
    switch (outcome.kind) {
    case Kind::Answered:
        if (outcome.marks.notRun || outcome.marks.otherInstance) {
            return RunEnd::Shed;
        }
        if (outcome.status == GatewayTimeout) {
            return RunEnd::Unjudged;
        }
        return outcome.status >= FirstServerError || !outcome.marks.trusted ? RunEnd::Bad
                                                                            : RunEnd::Good;
    case Kind::Unreachable:
        return RunEnd::Unreachable;
    case Kind::Lost:
        return cancelled ? RunEnd::Unjudged : RunEnd::Lost;
    case Kind::Unsent:
    case Kind::StaleConnection:
        break;
    }
    return RunEnd::Unjudged;
}

} // namespace

RunStart startOf(BackendStateView &state, const SlotQueue &slots, bool nested, TimePoint now)
{
    return {now, slots.inUse(), nested ? CallOrigin::BackendServer : CallOrigin::Caller,
            isUsual(state, now)};
}

void learnFrom(BackendStateView &state, const SlotQueue &slots, const RunStart &start,
               bool cancelled, const ExchangeOutcome &outcome, TimePoint now)
{
    if (const auto &load = outcome.marks.load) {
        state.health.reportedSlowness(load->slowness, now);
    }
    const RunEnd end = judge(cancelled, outcome);
    const Duration elapsed = now - start.at;
    state.health.ended(end, elapsed, now, start.origin);
    if (end == RunEnd::Good && start.origin == CallOrigin::Caller && start.comparable
        && isUsual(state, now)) {
        state.crowding.ended(start.inUse, slots.slots(), elapsed, now);
    }
    if (outcome.marks.otherInstance) {
        // Another process has the address; its own heartbeat will say what it is.
        state.health.ended(RunEnd::Unreachable, {}, now);
    }
}

} // namespace Coltsfootwell
