// Steers one call on the entry daemon: attempts, retries, revocations, and what the caller is told.
//
// The caller is told "not run" only when no attempt can have reached a backend server: every
// attempt was refused, never sent, or revoked before it started.
#pragma once

#include "decisions/CallFacts.h"
#include "decisions/Outcome.h"
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

/// \brief State machine of one call. Each input returns the actions that follow, valid until the
/// next input.
class CallFlow
{
public:
    static constexpr unsigned MaxAttempts = 3;

    /// \param facts the call.
    /// \param routing picks targets; outlives the object.
    /// \param random source of attempt ids; outlives the object.
    CallFlow(CallFacts facts, Routing &routing, Random &random);

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

    /// \return true when the caller has its answer or refusal.
    bool finished() const { return m_finished; }

private:
    void attemptNext(TimePoint now);
    void refuse(Outcome outcome, Reason reason);

    CallFacts m_facts;
    Routing &m_routing;
    Random &m_random;
    std::vector<DaemonId> m_tried;
    std::vector<CallAction> m_actions;
    AttemptId m_current;
    unsigned m_attempts = 0;
    bool m_finished = false;
};

} // namespace Coltsfootwell
