#include "decisions/CallFlow.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

/// \return true if every serving daemon would refuse the call for this reason.
bool appliesToAllDaemons(Reason reason)
{
    return reason == Reason::OutsideHomeRegions || reason == Reason::Deadline;
}

} // namespace

CallFlow::CallFlow(CallAttributes attributes, const CallFlowDependencies &dependencies)
    : m_attributes(std::move(attributes)), m_dependencies(dependencies)
{
}

std::span<const CallAction> CallFlow::start(TimePoint now)
{
    m_actions.clear();
    if (now >= m_attributes.deadline) {
        refuse(Reason::Deadline);
        return finishActions();
    }
    if (m_attributes.fromRepeatedRun) {
        m_dependencies.retryStrategy.recordCallOfRepeatedRun(m_attributes.service, now);
    } else {
        m_dependencies.retryStrategy.recordFirstAttempt(m_attributes.service, now);
    }
    place(AttemptCause::First, now);
    return finishActions();
}

std::span<const CallAction> CallFlow::attemptRefused(const AttemptId &attempt, Reason reason,
                                                     bool byServer, TimePoint now)
{
    m_actions.clear();
    Attempt *match = find(attempt);
    if (!match || m_finished || !match->lifecycle.inFlight()) {
        return finishActions();
    }
    match->lifecycle.process(AttemptEvent::Refused);
    m_lastReason = reason;
    m_nextIsRepeat = m_nextIsRepeat || byServer;
    m_refusedByServer = m_refusedByServer || byServer;
    m_excluded.push_back(match->target.daemon);
    if (anyInFlight()) {
        return finishActions();
    }
    if (appliesToAllDaemons(reason)) {
        refuse(reason);
    } else if (m_failedAnswer) {
        retryAfterFailure(now);
    } else if (m_excluded.size() >= RefusalsBeforeBackoff) {
        backOff(reason, now);
    } else {
        place(AttemptCause::Refusal, now);
    }
    return finishActions();
}

std::span<const CallAction> CallFlow::attemptLost(const AttemptId &attempt, TimePoint now)
{
    m_actions.clear();
    Attempt *match = find(attempt);
    if (!match || m_finished || !match->lifecycle.inFlight()) {
        return finishActions();
    }
    match->lifecycle.process(AttemptEvent::Abandoned);
    m_lastReason = Reason::AnswerLost;
    m_excluded.push_back(match->target.daemon);
    if (!anyInFlight()) {
        retryAfterFailure(now);
    }
    return finishActions();
}

std::span<const CallAction> CallFlow::attemptAnswered(const AttemptId &attempt, AnswerKind kind,
                                                      TimePoint now)
{
    m_actions.clear();
    Attempt *match = find(attempt);
    if (!match || m_finished || !match->lifecycle.inFlight()) {
        return m_actions;
    }
    match->lifecycle.process(AttemptEvent::Answered);
    if (kind == AnswerKind::Success) {
        m_finished = true;
        abandonInFlight();
        m_actions.emplace_back(DeliverAnswer {attempt});
        return m_actions;
    }
    m_failedAnswer = attempt;
    m_failureIsShared = m_failureIsShared || kind == AnswerKind::SharedFailure;
    m_excluded.push_back(match->target.daemon);
    if (!anyInFlight()) {
        retryAfterFailure(now);
    }
    return finishActions();
}

std::span<const CallAction> CallFlow::timerExpired(TimePoint now)
{
    m_actions.clear();
    if (m_finished) {
        return m_actions;
    }
    if (now >= m_attributes.deadline) {
        abandonInFlight();
        refuse(Reason::Deadline);
        return finishActions();
    }
    if (m_placeAgainAt && now >= *m_placeAgainAt) {
        m_placeAgainAt.reset();
        m_excluded.clear();
        place(AttemptCause::Refusal, now);
    }
    if (m_hedgeAt && now >= *m_hedgeAt) {
        sendHedge(now);
    }
    return finishActions();
}

std::span<const CallAction> CallFlow::callCancelled(TimePoint now)
{
    m_actions.clear();
    if (!m_finished) {
        abandonInFlight();
        refuse(Reason::Cancelled);
    }
    return finishActions();
}

CallFlow::Attempt *CallFlow::find(const AttemptId &id)
{
    const auto it = std::ranges::find(m_attempts, id, &Attempt::id);
    return it == m_attempts.end() ? nullptr : &*it;
}

void CallFlow::place(AttemptCause cause, TimePoint now)
{
    const Placement::Choice choice = m_dependencies.placement.pick(m_attributes, m_excluded, now);
    if (const auto *placed = std::get_if<PlacedAttempt>(&choice)) {
        if (std::exchange(m_nextIsRepeat, false)
            && !m_dependencies.retryStrategy.tryAcquire(m_attributes.service, now)) {
            refuse(Reason::RetryBudget);
            return;
        }
        send(*placed, cause, now);
    } else {
        backOff(std::get<Reason>(choice), now);
    }
}

void CallFlow::send(const PlacedAttempt &placed, AttemptCause cause, TimePoint now)
{
    Attempt attempt;
    attempt.id = {m_dependencies.random.next(), m_dependencies.random.next()};
    attempt.target = placed.target;
    attempt.sentAt = now;
    attempt.expected = placed.expected;
    attempt.lifecycle.process(AttemptEvent::Sent);
    const bool repeat
        = m_refusedByServer || cause == AttemptCause::Failure || cause == AttemptCause::Hedge;
    m_actions.emplace_back(SendAttempt {attempt.id, placed, cause, repeat});
    m_attempts.push_back(std::move(attempt));
    if (cause != AttemptCause::Hedge) {
        scheduleHedge(now);
    }
}

/// Schedules another placement as long as an answer within the objective is possible. A nested call
/// waits until its deadline, because the work of its parent is lost without the answer.
void CallFlow::backOff(Reason reason, TimePoint now)
{
    m_lastReason = reason;
    const TimePoint latest = m_attributes.nested
        ? m_attributes.deadline
        : std::min(m_attributes.objective, m_attributes.deadline);
    if (now + m_backoff >= latest) {
        refuse(reason);
        return;
    }
    m_placeAgainAt = now + m_backoff;
    m_backoff *= 2;
}

void CallFlow::retryAfterFailure(TimePoint now)
{
    const bool allowed = std::ranges::all_of(m_attempts, [this](const Attempt &attempt) {
        return m_dependencies.guards.mayRetryAfter(attempt.lifecycle.state(),
                                                   m_attributes.idempotent);
    });
    if (allowed && !m_failureIsShared && mayRunAgain()) {
        const Placement::Choice choice
            = m_dependencies.placement.pick(m_attributes, m_excluded, now);
        const auto *placed = std::get_if<PlacedAttempt>(&choice);
        if (placed && m_dependencies.retryStrategy.tryAcquire(m_attributes.service, now)) {
            send(*placed, AttemptCause::Failure, now);
            return;
        }
        withhold(AttemptCause::Failure, placed ? Reason::RetryBudget : std::get<Reason>(choice));
    }
    if (m_failedAnswer) {
        m_finished = true;
        m_actions.emplace_back(DeliverAnswer {*m_failedAnswer});
        return;
    }
    refuse(m_lastReason);
}

void CallFlow::scheduleHedge(TimePoint now)
{
    m_hedgeAt.reset();
    if (!m_attributes.idempotent || !mayRunAgain()) {
        return;
    }
    const Duration expected = m_attempts.back().expected;
    const TimePoint latest = m_attributes.objective - scaled(expected, HedgeLeadFactor);
    const TimePoint earliest = now + scaled(expected, HedgeDelayFactor);
    if (earliest < m_attributes.objective) {
        m_hedgeAt = std::max(latest, earliest);
    }
}

void CallFlow::sendHedge(TimePoint now)
{
    m_hedgeAt.reset();
    if (!anyInFlight() || !mayRunAgain()) {
        return;
    }
    std::vector<DaemonId> excluded = m_excluded;
    for (const Attempt &attempt : m_attempts) {
        excluded.push_back(attempt.target.daemon);
    }
    const Placement::Choice choice = m_dependencies.placement.pick(m_attributes, excluded, now);
    const auto *placed = std::get_if<PlacedAttempt>(&choice);
    if (!placed) {
        withhold(AttemptCause::Hedge, std::get<Reason>(choice));
    } else if (now + placed->expected > m_attributes.objective) {
        // A hedge that is expected to miss the objective only adds load.
        withhold(AttemptCause::Hedge, Reason::Deadline);
    } else if (m_dependencies.retryStrategy.tryAcquire(m_attributes.service, now)) {
        send(*placed, AttemptCause::Hedge, now);
    } else {
        withhold(AttemptCause::Hedge, Reason::RetryBudget);
    }
}

void CallFlow::withhold(AttemptCause cause, Reason reason)
{
    m_actions.emplace_back(AttemptWithheld {cause, reason});
}

void CallFlow::abandonInFlight()
{
    for (Attempt &attempt : m_attempts) {
        if (attempt.lifecycle.inFlight()) {
            attempt.lifecycle.process(AttemptEvent::Abandoned);
            m_actions.emplace_back(AbandonAttempt {attempt.id});
        }
    }
}

bool CallFlow::anyInFlight() const
{
    return std::ranges::any_of(m_attempts,
                               [](const Attempt &attempt) { return attempt.lifecycle.inFlight(); });
}

std::size_t CallFlow::possibleRuns() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_attempts, [](const Attempt &attempt) {
        return attempt.lifecycle.state() != AttemptState::NotRun;
    }));
}

bool CallFlow::mayRunAgain() const
{
    return possibleRuns() < m_attributes.maxAttempts;
}

void CallFlow::armTimer()
{
    TimePoint at = m_attributes.deadline;
    for (const auto &next : {m_hedgeAt, m_placeAgainAt}) {
        at = next ? std::min(at, *next) : at;
    }
    m_actions.emplace_back(SetTimer {at});
}

/// The only source of the outcome "not run", which requires proof that no attempt has started.
Outcome CallFlow::outcome() const
{
    const bool notRun = std::ranges::all_of(m_attempts, [this](const Attempt &attempt) {
        return m_dependencies.guards.provesNotRun(attempt.lifecycle.state());
    });
    return notRun ? Outcome::NotRun : Outcome::Unknown;
}

void CallFlow::refuse(Reason reason)
{
    m_finished = true;
    const Outcome reported = outcome();
    // A refusal of the last attempt must not hide that an earlier attempt may have run.
    const bool earlierAttemptMayHaveRun
        = reported == Outcome::Unknown && reason != Reason::Deadline && reason != Reason::Cancelled;
    m_actions.emplace_back(
        RefuseCall {reported, earlierAttemptMayHaveRun ? Reason::AnswerLost : reason});
}

std::span<const CallAction> CallFlow::finishActions()
{
    if (!m_finished) {
        armTimer();
    }
    return m_actions;
}

} // namespace Coltsfootwell
