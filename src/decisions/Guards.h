// Safety rules against duplicate runs of a call and false "not run" outcomes. They form a table, so
// that a test can replace one rule and verify that its check then fails.
#pragma once

#include "decisions/AttemptLifecycle.h"
#include "decisions/Ids.h"

namespace Coltsfootwell {

/// \brief Table of safety rules, one function for each.
struct Guards
{
    /// \return true if a call may be sent again after an attempt ended in this state.
    bool (*mayRetryAfter)(AttemptState ended, bool idempotent);
    /// \return true if an attempt in this state cannot have run.
    bool (*provesNotRun)(AttemptState state);
    /// \return true if a serving daemon refuses a run whose attempt was revoked before it arrived.
    bool (*honoursTombstones)();
    /// \return true if a process may answer for an attempt that was sent to the named process.
    bool (*isForThisProcess)(Incarnation named, Incarnation self);
};

/// \brief All safety rules enabled; the only table used by the daemon.
inline constexpr Guards FullGuards {
    [](AttemptState ended, bool idempotent) { return idempotent || ended == AttemptState::NotRun; },
    [](AttemptState state) {
        return state == AttemptState::Unsent || state == AttemptState::NotRun;
    },
    [] { return true; },
    [](Incarnation named, Incarnation self) { return named == self; },
};

} // namespace Coltsfootwell
