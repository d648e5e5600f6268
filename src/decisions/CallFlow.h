// Steers one call on the entry daemon: attempts, retries, hedges, and what the caller is told.
//
// The caller is told "not run" only when no attempt can have reached a backend server: every
// attempt was refused or never sent.
#pragma once

#include "decisions/AttemptLifecycle.h"
#include "decisions/CallAttributes.h"
#include "decisions/Guards.h"
#include "decisions/Outcome.h"
#include "decisions/Placement.h"
#include "decisions/RetryStrategy.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Why an attempt is made.
enum class AttemptCause {
    First,
    /// The last one was refused and has not run.
    Refusal,
    /// The last one failed or its answer was lost.
    Failure,
    /// The last one has not answered and would be late.
    Hedge,
};

/// \brief Sends the call to a serving daemon.
struct SendAttempt
{
    AttemptId attempt;
    PlacedAttempt placed;
    AttemptCause cause = AttemptCause::First;
    /// True when the call may have reached another backend server before.
    bool repeat = false;
};

/// \brief Closes an attempt whose answer is no longer wanted.
struct StopAttempt
{
    AttemptId attempt;
};

/// \brief Passes the answer of an attempt on to the caller.
struct DeliverAnswer
{
    AttemptId attempt;
};

/// \brief Answers the caller without a backend server.
struct RefuseCall
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Overloaded;
};

/// \brief Wants CallFlow::timerExpired() at a time; replaces an earlier one.
struct SetTimer
{
    TimePoint at;
};

using CallAction = std::variant<SendAttempt, StopAttempt, DeliverAnswer, RefuseCall, SetTimer>;

/// \brief What a call needs besides its facts; all references outlive the call.
struct CallFlowDependencies
{
    Placement &placement;
    Random &random;
    RetryStrategy &budget;
    const Guards &guards = FullGuards;
};

/// \brief State machine of one call. Each input returns the actions that follow, valid until the
/// next input. Inputs that come late or twice are ignored.
class CallFlow
{
public:
    /// Refusals in a row after which the call waits before it is placed again.
    static constexpr std::size_t RefusalsUntilPause = 4;
    /// Time until the second search for a free server; each later pause is twice as long.
    static constexpr std::chrono::milliseconds PauseTime {12};
    /// A hedge is sent this many times the expected time before the objective.
    static constexpr double HedgeLead = 1.4;
    /// An attempt is given this many times its expected time before it is hedged.
    static constexpr double HedgeAfter = 1.6;

    /// \param facts the call.
    /// \param parts see CallFlowDependencies.
    CallFlow(CallAttributes facts, const CallFlowDependencies &parts);

    std::span<const CallAction> start(TimePoint now);
    /// \param byServer true when the backend server itself has refused; another attempt then draws
    /// on the retry budget.
    std::span<const CallAction> attemptRefused(const AttemptId &attempt, Reason reason,
                                               bool byServer, TimePoint now);
    std::span<const CallAction> attemptLost(const AttemptId &attempt, TimePoint now);
    /// \param good false for a failure of the backend server.
    std::span<const CallAction> attemptAnswered(const AttemptId &attempt, bool good, TimePoint now);
    std::span<const CallAction> timerExpired(TimePoint now);
    std::span<const CallAction> callCancelled(TimePoint now);

    /// \return true when the caller has its answer or refusal.
    bool finished() const { return m_finished; }

private:
    struct Attempt
    {
        AttemptId id;
        Target target;
        TimePoint sentAt;
        Duration expected {};
        AttemptLifecycle lifecycle;
    };

    Attempt *find(const AttemptId &id);
    void place(AttemptCause cause, TimePoint now);
    void send(const PlacedAttempt &placed, AttemptCause cause, TimePoint now);
    void pause(Reason reason, TimePoint now);
    void retryAfterFailure(TimePoint now);
    void hedge(TimePoint now);
    void planHedge(TimePoint now);
    void stopOpen();
    bool anyOpen() const;
    /// Attempts that may have run.
    std::size_t runs() const;
    bool mayRunAgain() const;
    void armTimer();
    Outcome outcome() const;
    void refuse(Reason reason);
    std::span<const CallAction> finish();

    CallAttributes m_facts;
    CallFlowDependencies m_parts;
    std::vector<Attempt> m_attempts;
    std::vector<CallAction> m_actions;
    /// Daemons that are not asked again before the next pause.
    std::vector<DaemonId> m_excluded;
    std::optional<TimePoint> m_hedgeAt;
    std::optional<TimePoint> m_placeAt;
    /// A failure of a backend server, delivered when nothing better comes.
    std::optional<AttemptId> m_failedAnswer;
    /// The next attempt is a repeat for the service, although the last one has not run.
    bool m_repeats = false;
    /// A backend server has received the call and turned it away.
    bool m_turnedAway = false;
    Reason m_lastReason = Reason::Overloaded;
    bool m_finished = false;
    Duration m_pause = PauseTime;
};

} // namespace Coltsfootwell
