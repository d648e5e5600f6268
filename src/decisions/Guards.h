// The rules that keep a call from running twice and from a false "not run", as a table, so that
// tests can replace one of them and show that a check fails without it.
#pragma once

#include "decisions/AttemptLifecycle.h"
#include "decisions/Ids.h"

namespace Coltsfootwell {

/// \brief One function for each rule.
struct Guards
{
    /// May a call be sent again after an attempt ended in this state?
    bool (*mayRetryAfter)(AttemptState ended, bool idempotent);
    /// Does an attempt in this state allow the outcome "not run"?
    bool (*provesNotRun)(AttemptState state);
    /// Does a serving daemon refuse a run that it has promised never to start?
    bool (*honoursTombstones)();
    /// May a process tell of an attempt that was sent to the named process?
    bool (*isForThisProcess)(Incarnation named, Incarnation self);
};

/// \brief All rules in force; the only table that the daemon uses.
inline constexpr Guards FullGuards {
    [](AttemptState ended, bool idempotent) { return idempotent || ended == AttemptState::NotRun; },
    [](AttemptState state) {
        return state == AttemptState::Unsent || state == AttemptState::NotRun;
    },
    [] { return true; },
    [](Incarnation named, Incarnation self) { return named == self; },
};

} // namespace Coltsfootwell
