#include "decisions/CallFlow.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// An unanswered attempt is revoked at this part of the time it has, ...
constexpr int ProgressShare = 2;
/// ... but early enough for a verdict to count.
constexpr Duration MaxProgressWait = MaxVerdictAge / 2;
/// The last revocation before the deadline takes at most this part of the time an attempt has.
constexpr int LeadShare = 4;

/// Reasons that hold for every serving daemon.
bool holdsEverywhere(Reason reason)
{
    return reason == Reason::OutsideHomeRegions || reason == Reason::Deadline;
}

} // namespace

CallFlow::CallFlow(CallFacts facts, const CallFlowParts &parts)
    : m_facts(std::move(facts)), m_parts(parts)
{
}

std::span<const CallAction> CallFlow::begin(TimePoint now)
{
    m_actions.clear();
    if (now >= m_facts.deadline) {
        refuse(Reason::Deadline);
        return finish();
    }
    m_parts.budget.firstAttempt(m_facts.service, m_facts.tenant);
    const Routing::Choice choice = m_parts.routing.pick(m_facts, {}, now);
    if (const auto *target = std::get_if<Target>(&choice)) {
        send(*target, now);
        if (m_facts.idempotent && m_facts.bodyReplayable && m_parts.hedgeAfter) {
            m_hedgeAt = now + *m_parts.hedgeAfter;
        }
    } else {
        refuse(std::get<Reason>(choice));
    }
    return finish();
}

std::span<const CallAction> CallFlow::refused(const AttemptId &attempt, Reason reason,
                                              TimePoint now)
{
    m_actions.clear();
    if (Attempt *it = find(attempt); it && !m_finished && it->lifecycle.open()) {
        it->lifecycle.process(AttemptEvent::Refused);
        m_lastReason = reason;
        m_lastRefused = true;
        settle(now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::lost(const AttemptId &attempt, AttemptLoss loss,
                                           bool bodyTaken, TimePoint now)
{
    m_actions.clear();
    m_bodyTaken = m_bodyTaken || (bodyTaken && !m_facts.bodyReplayable);
    Attempt *it = find(attempt);
    if (!it || m_finished || !it->lifecycle.open()) {
        return finish();
    }
    it->connected = false;
    m_lastReason = loss == AttemptLoss::Unsent ? Reason::NoBackendServer : Reason::AnswerLost;
    m_lastRefused = false;
    if (loss == AttemptLoss::Unsent) {
        it->lifecycle.process(AttemptEvent::NeverSent);
    } else if (it->started || (m_facts.idempotent && maySendAgain())) {
        giveUp(*it);
    } else if (it->lifecycle.state() == AttemptState::Sent) {
        revoke(*it);
    }
    settle(now);
    return finish();
}

std::span<const CallAction> CallFlow::answered(const AttemptId &attempt, TimePoint now)
{
    m_actions.clear();
    Attempt *it = find(attempt);
    if (!it || m_finished || !it->lifecycle.open()) {
        m_actions.emplace_back(StopAttempt {attempt});
        return m_actions;
    }
    it->lifecycle.process(AttemptEvent::Answered);
    m_finished = true;
    stopAll();
    m_actions.emplace_back(DeliverAnswer {attempt});
    return finish();
}

std::span<const CallAction> CallFlow::revocationEnded(const AttemptId &attempt,
                                                      std::optional<RevokeVerdict> verdict,
                                                      TimePoint now)
{
    m_actions.clear();
    Attempt *it = find(attempt);
    if (!it || m_finished || it->lifecycle.state() != AttemptState::Revoking) {
        return finish();
    }
    it->started = it->started || verdict == RevokeVerdict::Started;
    if (verdict == RevokeVerdict::NeverStarts && m_parts.guards.verdictCounts(now - it->sentAt)) {
        it->lifecycle.process(AttemptEvent::RevocationConfirmed);
        m_lastReason = Reason::Revoked;
        m_lastRefused = false;
        if (it->connected) {
            m_actions.emplace_back(StopAttempt {attempt});
        }
    } else if (it->connected && verdict != RevokeVerdict::WrongIncarnation) {
        it->lifecycle.process(AttemptEvent::RevocationFailed);
        if (!it->started && now < it->lastRevokeAt) {
            it->revokeAt = it->lastRevokeAt;
        }
    } else {
        giveUp(*it);
    }
    settle(now);
    return finish();
}

std::span<const CallAction> CallFlow::timeout(TimePoint now)
{
    m_actions.clear();
    if (m_finished) {
        return m_actions;
    }
    if (now >= m_facts.deadline) {
        for (Attempt &attempt : m_attempts) {
            giveUp(attempt);
        }
        refuse(Reason::Deadline);
        return finish();
    }
    for (Attempt &attempt : m_attempts) {
        if (attempt.revokeAt && now >= *attempt.revokeAt
            && attempt.lifecycle.state() == AttemptState::Sent) {
            revoke(attempt);
        }
    }
    if (m_hedgeAt && now >= *m_hedgeAt) {
        hedge(now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::cancelled(TimePoint now)
{
    m_actions.clear();
    if (!m_finished) {
        stopAll();
        refuse(Reason::Cancelled);
    }
    return finish();
}

CallFlow::Attempt *CallFlow::find(const AttemptId &id)
{
    const auto it = std::ranges::find(m_attempts, id, &Attempt::id);
    return it == m_attempts.end() ? nullptr : &*it;
}

void CallFlow::send(const Target &target, TimePoint now)
{
    Attempt attempt;
    attempt.id = {m_parts.random.next(), m_parts.random.next()};
    attempt.target = target;
    attempt.sentAt = now;
    const Duration left = m_facts.deadline - now;
    attempt.revokeAt = now + std::min<Duration>(left / ProgressShare, MaxProgressWait);
    attempt.lastRevokeAt
        = m_facts.deadline - std::min<Duration>(MaxRevocationLead, left / LeadShare);
    attempt.lifecycle.process(AttemptEvent::Sent);
    m_actions.emplace_back(SendAttempt {attempt.id, target});
    m_attempts.push_back(std::move(attempt));
}

void CallFlow::revoke(Attempt &attempt)
{
    attempt.revokeAt.reset();
    attempt.lifecycle.process(AttemptEvent::RevocationAsked);
    m_actions.emplace_back(SendRevocation {attempt.id, attempt.target});
}

void CallFlow::giveUp(Attempt &attempt)
{
    if (attempt.lifecycle.open()) {
        attempt.lifecycle.process(AttemptEvent::GivenUp);
        m_actions.emplace_back(StopAttempt {attempt.id});
    }
}

void CallFlow::stopAll()
{
    for (Attempt &attempt : m_attempts) {
        giveUp(attempt);
    }
}

bool CallFlow::anyOpen() const
{
    return std::ranges::any_of(m_attempts,
                               [](const Attempt &attempt) { return attempt.lifecycle.open(); });
}

bool CallFlow::maySendAgain() const
{
    return m_attempts.size() < MaxAttempts && !m_bodyTaken;
}

std::optional<Target> CallFlow::nextTarget(TimePoint now)
{
    std::vector<DaemonId> tried;
    std::ranges::transform(m_attempts, std::back_inserter(tried),
                           [](const Attempt &attempt) { return attempt.target.daemon; });
    Routing::Choice choice = m_parts.routing.pick(m_facts, tried, now);
    // A daemon that refused would refuse again; one whose connection broke may be back.
    if (std::holds_alternative<Reason>(choice) && !m_lastRefused) {
        choice = m_parts.routing.pick(m_facts, {}, now);
    }
    const auto *target = std::get_if<Target>(&choice);
    return target ? std::optional(*target) : std::nullopt;
}

/// Decides what follows when no attempt is open any more.
void CallFlow::settle(TimePoint now)
{
    if (m_finished || anyOpen()) {
        return;
    }
    const bool allowed = std::ranges::all_of(m_attempts, [this](const Attempt &attempt) {
        return m_parts.guards.mayRetryAfter(attempt.lifecycle.state(), m_facts.idempotent);
    });
    if (now >= m_facts.deadline) {
        refuse(Reason::Deadline);
        return;
    }
    if (!allowed || !maySendAgain() || (m_lastRefused && holdsEverywhere(m_lastReason))) {
        refuse(m_lastReason);
        return;
    }
    const std::optional<Target> target = nextTarget(now);
    if (!target) {
        refuse(m_lastReason);
    } else if (!m_parts.budget.take(m_facts.service, m_facts.tenant)) {
        refuse(outcome() == Outcome::NotRun ? Reason::RetryBudget : m_lastReason);
    } else {
        send(*target, now);
    }
}

void CallFlow::hedge(TimePoint now)
{
    m_hedgeAt.reset();
    if (!maySendAgain() || m_attempts.size() != 1) {
        return;
    }
    const std::vector<DaemonId> tried {m_attempts.front().target.daemon};
    const Routing::Choice choice = m_parts.routing.pick(m_facts, tried, now);
    if (const auto *target = std::get_if<Target>(&choice);
        target && m_parts.budget.take(m_facts.service, m_facts.tenant)) {
        send(*target, now);
    }
}

void CallFlow::armTimer()
{
    TimePoint at = m_facts.deadline;
    if (m_hedgeAt) {
        at = std::min(at, *m_hedgeAt);
    }
    for (const Attempt &attempt : m_attempts) {
        if (attempt.revokeAt && attempt.lifecycle.state() == AttemptState::Sent) {
            at = std::min(at, *attempt.revokeAt);
        }
    }
    m_actions.emplace_back(SetTimer {at});
}

/// The only place that says "not run": every attempt is known not to have started.
Outcome CallFlow::outcome() const
{
    const bool notRun = std::ranges::all_of(m_attempts, [this](const Attempt &attempt) {
        return m_parts.guards.provesNotRun(attempt.lifecycle.state());
    });
    return notRun ? Outcome::NotRun : Outcome::Unknown;
}

void CallFlow::refuse(Reason reason)
{
    m_finished = true;
    const bool revoked = reason == Reason::Revoked;
    const Outcome told = outcome();
    // A refusal of the last attempt must not hide that an earlier one may have run.
    const bool hidden
        = told == Outcome::Unknown && reason != Reason::Deadline && reason != Reason::Cancelled;
    m_actions.emplace_back(RefuseCall {told,
                                       hidden        ? Reason::AnswerLost
                                           : revoked ? Reason::Deadline
                                                     : reason});
}

std::span<const CallAction> CallFlow::finish()
{
    if (!m_finished) {
        armTimer();
    }
    return m_actions;
}

} // namespace Coltsfootwell
