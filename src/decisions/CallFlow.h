// State machine of one call on the entry daemon: placement, attempts, retries, hedges and the
// outcome reported to the caller.
//
// The outcome is "not run" only if no attempt can have reached a backend server, that is, if every
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
    /// The previous attempt was refused and did not run.
    Refusal,
    /// The previous attempt failed or its answer was lost.
    Failure,
    /// The previous attempt is still in flight and is likely to miss the objective.
    Hedge,
};

/// \brief Sends the call to a serving daemon.
struct SendAttempt
{
    AttemptId attempt;
    PlacedAttempt placed;
    AttemptCause cause = AttemptCause::First;
    /// True if the call may already have reached another backend server.
    bool repeat = false;
};

/// \brief Reports that an attempt which the call was entitled to is not made.
struct AttemptWithheld
{
    AttemptCause cause = AttemptCause::Failure;
    /// Reason::RetryBudget, or why no server is eligible.
    Reason reason = Reason::RetryBudget;
};

/// \brief Abandons an attempt whose answer is no longer needed, so that its run is cancelled.
struct AbandonAttempt
{
    AttemptId attempt;
};

/// \brief Forwards the answer of an attempt to the caller.
struct DeliverAnswer
{
    AttemptId attempt;
};

/// \brief Refuses the call; the caller gets no answer of a backend server.
struct RefuseCall
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Overloaded;
};

/// \brief Requests a call of CallFlow::timerExpired(); replaces the previous timer.
struct SetTimer
{
    TimePoint at;
};

using CallAction = std::variant<SendAttempt, AttemptWithheld, AbandonAttempt, DeliverAnswer,
                                RefuseCall, SetTimer>;

/// \brief Kind of answer of a backend server.
enum class AnswerKind : std::uint8_t {
    Success,
    /// A failure of this backend server; another one may succeed.
    ServerFailure,
    /// A failure that a repeat would share; see FailureAttribution.
    SharedFailure,
};

/// \brief Collaborators of a CallFlow; all references must outlive it.
struct CallFlowDependencies
{
    Placement &placement;
    Random &random;
    RetryStrategy &retryStrategy;
    const Guards &guards = FullGuards;
};

/// \brief State machine of one call. Each input returns the resulting actions, which are valid
/// until the next input. Late and duplicate inputs are ignored.
class CallFlow
{
public:
    /// Number of refused attempts after which the call backs off; the count restarts after each
    /// backoff.
    static constexpr std::size_t RefusalsBeforeBackoff = 4;
    /// Delay before a call is placed again after a backoff; doubles with each further backoff.
    static constexpr std::chrono::milliseconds InitialBackoff {12};
    /// Time from a hedge to the objective, as a multiple of the expected time of the attempt.
    static constexpr double HedgeLeadFactor = 1.4;
    /// Minimum age of an attempt before it is hedged, as a multiple of its expected time.
    static constexpr double HedgeDelayFactor = 1.6;

    /// \param attributes the call.
    /// \param dependencies see CallFlowDependencies.
    CallFlow(CallAttributes attributes, const CallFlowDependencies &dependencies);

    /// \brief Places the first attempt.
    std::span<const CallAction> start(TimePoint now);
    /// \brief Handles the refusal of an attempt that did not run.
    /// \param byServer true if the backend server itself refused; the next attempt is then charged
    /// to the retry budget.
    std::span<const CallAction> attemptRefused(const AttemptId &attempt, Reason reason,
                                               bool byServer, TimePoint now);
    /// \brief Handles an attempt whose answer will not arrive, although it may have started.
    std::span<const CallAction> attemptLost(const AttemptId &attempt, TimePoint now);
    /// \brief Handles the answer of a backend server.
    std::span<const CallAction> attemptAnswered(const AttemptId &attempt, AnswerKind kind,
                                                TimePoint now);
    /// \brief Handles the expiry of the timer requested by the last SetTimer.
    std::span<const CallAction> timerExpired(TimePoint now);
    /// \brief Handles the cancellation of the call by the caller.
    std::span<const CallAction> callCancelled(TimePoint now);

    /// \return true once the caller has an answer or a refusal.
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
    void backOff(Reason reason, TimePoint now);
    void retryAfterFailure(TimePoint now);
    void sendHedge(TimePoint now);
    void scheduleHedge(TimePoint now);
    void withhold(AttemptCause cause, Reason reason);
    void abandonInFlight();
    bool anyInFlight() const;
    /// \return number of attempts that may have run.
    std::size_t possibleRuns() const;
    bool mayRunAgain() const;
    void armTimer();
    Outcome outcome() const;
    void refuse(Reason reason);
    std::span<const CallAction> finishActions();

    CallAttributes m_attributes;
    CallFlowDependencies m_dependencies;
    std::vector<Attempt> m_attempts;
    std::vector<CallAction> m_actions;
    /// Daemons that are not eligible until the next backoff has passed.
    std::vector<DaemonId> m_excluded;
    std::optional<TimePoint> m_hedgeAt;
    std::optional<TimePoint> m_placeAgainAt;
    /// Failure answer of a backend server, delivered if no attempt succeeds.
    std::optional<AttemptId> m_failedAnswer;
    /// A repeat would have the same failure.
    bool m_failureIsShared = false;
    /// The next attempt is charged to the retry budget, although the previous one did not run.
    bool m_nextIsRepeat = false;
    /// A backend server received the call and refused it.
    bool m_refusedByServer = false;
    Reason m_lastReason = Reason::Overloaded;
    bool m_finished = false;
    Duration m_backoff = InitialBackoff;
};

} // namespace Coltsfootwell
