// Steers one call on the entry daemon: attempts, retries, revocations, and what the caller is told.
//
// The caller is told "not run" only when no attempt can have reached a backend server: every
// attempt was refused, never sent, or revoked before it started.
#pragma once

#include "decisions/AttemptLifecycle.h"
#include "decisions/CallFacts.h"
#include "decisions/Guards.h"
#include "decisions/Outcome.h"
#include "decisions/RetryStrategy.h"
#include "decisions/Routing.h"
#include "decisions/RunLedger.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Sends the call to a serving daemon.
struct SendAttempt
{
    AttemptId attempt;
    Target target;
};

/// \brief Asks a serving daemon never to start an attempt.
struct SendRevocation
{
    AttemptId attempt;
    Target target;
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

/// \brief Wants CallFlow::timeout() at a time; replaces an earlier one.
struct SetTimer
{
    TimePoint at;
};

using CallAction
    = std::variant<SendAttempt, SendRevocation, StopAttempt, DeliverAnswer, RefuseCall, SetTimer>;

/// \brief Why an attempt has no answer.
enum class AttemptLoss {
    /// No byte was sent.
    Unsent,
    /// The attempt may have reached the serving daemon.
    Sent,
};

/// \brief What a call needs besides its facts; all references outlive the call.
struct CallFlowParts
{
    Routing &routing;
    Random &random;
    RetryStrategy &budget;
    /// Time after which an idempotent call is sent a second time; nothing for no hedges.
    std::optional<Duration> hedgeAfter;
    const Guards &guards = FullGuards;
};

/// \brief State machine of one call. Each input returns the actions that follow, valid until the
/// next input. Inputs that come late or twice are ignored.
class CallFlow
{
public:
    static constexpr unsigned MaxAttempts = 3;
    /// Longest time before the deadline at which an unanswered attempt is revoked. Covers a round
    /// trip between regions (60 ms) over a new connection.
    static constexpr std::chrono::milliseconds MaxRevocationLead {250};

    /// \param facts the call.
    /// \param parts see CallFlowParts.
    CallFlow(CallFacts facts, const CallFlowParts &parts);

    std::span<const CallAction> begin(TimePoint now);
    std::span<const CallAction> refused(const AttemptId &attempt, Reason reason, TimePoint now);
    std::span<const CallAction> lost(const AttemptId &attempt, AttemptLoss loss, bool bodyTaken,
                                     TimePoint now);
    std::span<const CallAction> answered(const AttemptId &attempt, TimePoint now);
    /// \param verdict the serving daemon's reply; nothing when it did not reply in time.
    std::span<const CallAction> revocationEnded(const AttemptId &attempt,
                                                std::optional<RevokeVerdict> verdict,
                                                TimePoint now);
    std::span<const CallAction> timeout(TimePoint now);
    std::span<const CallAction> cancelled(TimePoint now);

    /// \brief A streamed body was read by an attempt, so that no other attempt can have it.
    void bodyTaken() { m_bodyTaken = true; }

    /// \return true when the caller has its answer or refusal.
    bool finished() const { return m_finished; }

private:
    struct Attempt
    {
        AttemptId id;
        Target target;
        TimePoint sentAt;
        /// Time of the next revocation, when there is one to come.
        std::optional<TimePoint> revokeAt;
        /// Time of the revocation shortly before the deadline.
        TimePoint lastRevokeAt;
        AttemptLifecycle lifecycle;
        /// False once the answer cannot come any more.
        bool connected = true;
        /// True once the serving daemon has said that it started the attempt.
        bool started = false;
    };

    Attempt *find(const AttemptId &id);
    void send(const Target &target, TimePoint now);
    void revoke(Attempt &attempt);
    void giveUp(Attempt &attempt);
    void stopAll();
    bool anyOpen() const;
    bool maySendAgain() const;
    std::optional<Target> nextTarget(TimePoint now);
    void settle(TimePoint now);
    void hedge(TimePoint now);
    void armTimer();
    Outcome outcome() const;
    void refuse(Reason reason);
    std::span<const CallAction> finish();

    CallFacts m_facts;
    CallFlowParts m_parts;
    std::vector<Attempt> m_attempts;
    std::vector<CallAction> m_actions;
    std::optional<TimePoint> m_hedgeAt;
    Reason m_lastReason = Reason::AnswerLost;
    bool m_lastRefused = false;
    bool m_bodyTaken = false;
    bool m_finished = false;
};

} // namespace Coltsfootwell
