// The rules that keep a call from running twice and from a false "not run", as a table, so that
// tests can replace one of them and show that a check fails without it.
#pragma once

#include "decisions/AttemptLifecycle.h"
#include "decisions/Ids.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

namespace Coltsfootwell {

/// A tombstone lasts for 120 s of the receiver's running time; half of it covers the time that an
/// attempt and its revocation spend on the way.
constexpr std::chrono::seconds MaxVerdictAge {60};

/// \brief One function for each rule.
struct Guards
{
    /// May a call be sent again after an attempt ended in this state?
    bool (*mayRetryAfter)(AttemptState ended, bool idempotent);
    /// Does an attempt in this state allow the outcome "not run"?
    bool (*provesNotRun)(AttemptState state);
    /// Does a verdict count this long after the attempt was sent?
    bool (*verdictCounts)(Duration sinceSent);
    /// Does a serving daemon refuse a run that it has promised never to start?
    bool (*honoursTombstones)();
    /// May a run start in a process other than the one it names?
    bool (*isForThisProcess)(const DaemonId &named, const DaemonId &self);
    /// May a key's call run again after a run with this outcome?
    bool (*freesKey)(Outcome outcome);
};

/// \brief All rules in force; the only table that the daemon uses.
inline constexpr Guards FullGuards {
    [](AttemptState ended, bool idempotent) { return idempotent || ended == AttemptState::NotRun; },
    [](AttemptState state) {
        return state == AttemptState::Unsent || state == AttemptState::NotRun;
    },
    [](Duration sinceSent) { return sinceSent <= MaxVerdictAge; },
    [] { return true; },
    [](const DaemonId &named, const DaemonId &self) { return named == self; },
    [](Outcome outcome) { return outcome == Outcome::NotRun; },
};

} // namespace Coltsfootwell
