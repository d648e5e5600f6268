#include "decisions/CallFlow.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Reasons that hold for every serving daemon.
bool holdsEverywhere(Reason reason)
{
    return reason == Reason::OutsideHomeRegions || reason == Reason::Deadline;
}

} // namespace

CallFlow::CallFlow(CallAttributes facts, const CallFlowDependencies &parts)
    : m_facts(std::move(facts)), m_parts(parts)
{
}

std::span<const CallAction> CallFlow::start(TimePoint now)
{
    m_actions.clear();
    if (now >= m_facts.deadline) {
        refuse(Reason::Deadline);
        return finish();
    }
    if (m_facts.fromRepeatedRun) {
        m_parts.budget.recordCallOfRepeatedRun(m_facts.service, now);
    } else {
        m_parts.budget.recordFirstAttempt(m_facts.service, now);
    }
    place(AttemptCause::First, now);
    return finish();
}

std::span<const CallAction> CallFlow::attemptRefused(const AttemptId &attempt, Reason reason,
                                                     bool byServer, TimePoint now)
{
    m_actions.clear();
    Attempt *it = find(attempt);
    if (!it || m_finished || !it->lifecycle.open()) {
        return finish();
    }
    it->lifecycle.process(AttemptEvent::Refused);
    m_lastReason = reason;
    m_repeats = m_repeats || byServer;
    m_turnedAway = m_turnedAway || byServer;
    m_excluded.push_back(it->target.daemon);
    if (anyOpen()) {
        return finish();
    }
    if (holdsEverywhere(reason)) {
        refuse(reason);
    } else if (m_failedAnswer) {
        retryAfterFailure(now);
    } else if (m_excluded.size() >= RefusalsUntilPause) {
        pause(reason, now);
    } else {
        place(AttemptCause::Refusal, now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::attemptLost(const AttemptId &attempt, TimePoint now)
{
    m_actions.clear();
    Attempt *it = find(attempt);
    if (!it || m_finished || !it->lifecycle.open()) {
        return finish();
    }
    it->lifecycle.process(AttemptEvent::GivenUp);
    m_lastReason = Reason::AnswerLost;
    m_excluded.push_back(it->target.daemon);
    if (!anyOpen()) {
        retryAfterFailure(now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::attemptAnswered(const AttemptId &attempt, bool good,
                                                      TimePoint now)
{
    m_actions.clear();
    Attempt *it = find(attempt);
    if (!it || m_finished || !it->lifecycle.open()) {
        return m_actions;
    }
    it->lifecycle.process(AttemptEvent::Answered);
    if (good) {
        m_finished = true;
        stopOpen();
        m_actions.emplace_back(DeliverAnswer {attempt});
        return m_actions;
    }
    m_failedAnswer = attempt;
    m_excluded.push_back(it->target.daemon);
    if (!anyOpen()) {
        retryAfterFailure(now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::timerExpired(TimePoint now)
{
    m_actions.clear();
    if (m_finished) {
        return m_actions;
    }
    if (now >= m_facts.deadline) {
        stopOpen();
        refuse(Reason::Deadline);
        return finish();
    }
    if (m_placeAt && now >= *m_placeAt) {
        m_placeAt.reset();
        m_excluded.clear();
        place(AttemptCause::Refusal, now);
    }
    if (m_hedgeAt && now >= *m_hedgeAt) {
        hedge(now);
    }
    return finish();
}

std::span<const CallAction> CallFlow::callCancelled(TimePoint now)
{
    m_actions.clear();
    if (!m_finished) {
        stopOpen();
        refuse(Reason::Cancelled);
    }
    return finish();
}

CallFlow::Attempt *CallFlow::find(const AttemptId &id)
{
    const auto it = std::ranges::find(m_attempts, id, &Attempt::id);
    return it == m_attempts.end() ? nullptr : &*it;
}

void CallFlow::place(AttemptCause cause, TimePoint now)
{
    const Placement::Choice choice = m_parts.placement.pick(m_facts, m_excluded, now);
    if (const auto *placed = std::get_if<PlacedAttempt>(&choice)) {
        if (std::exchange(m_repeats, false) && !m_parts.budget.tryAcquire(m_facts.service, now)) {
            refuse(Reason::RetryBudget);
            return;
        }
        send(*placed, cause, now);
    } else {
        pause(std::get<Reason>(choice), now);
    }
}

void CallFlow::send(const PlacedAttempt &placed, AttemptCause cause, TimePoint now)
{
    Attempt attempt;
    attempt.id = {m_parts.random.next(), m_parts.random.next()};
    attempt.target = placed.target;
    attempt.sentAt = now;
    attempt.expected = placed.expected;
    attempt.lifecycle.process(AttemptEvent::Sent);
    const bool repeat
        = m_turnedAway || cause == AttemptCause::Failure || cause == AttemptCause::Hedge;
    m_actions.emplace_back(SendAttempt {attempt.id, placed, cause, repeat});
    m_attempts.push_back(std::move(attempt));
    if (cause != AttemptCause::Hedge) {
        planHedge(now);
    }
}

/// Waits for a server to become free, as long as an answer within the objective is possible. The
/// parent of a nested call is lost without its answer, so that call waits until its deadline.
void CallFlow::pause(Reason reason, TimePoint now)
{
    m_lastReason = reason;
    const TimePoint last
        = m_facts.nested ? m_facts.deadline : std::min(m_facts.objective, m_facts.deadline);
    if (now + m_pause >= last) {
        refuse(reason);
        return;
    }
    m_placeAt = now + m_pause;
    m_pause *= 2;
}

void CallFlow::retryAfterFailure(TimePoint now)
{
    const bool allowed = std::ranges::all_of(m_attempts, [this](const Attempt &attempt) {
        return m_parts.guards.mayRetryAfter(attempt.lifecycle.state(), m_facts.idempotent);
    });
    if (allowed && mayRunAgain()) {
        const Placement::Choice choice = m_parts.placement.pick(m_facts, m_excluded, now);
        const auto *placed = std::get_if<PlacedAttempt>(&choice);
        if (placed && m_parts.budget.tryAcquire(m_facts.service, now)) {
            send(*placed, AttemptCause::Failure, now);
            return;
        }
    }
    if (m_failedAnswer) {
        m_finished = true;
        m_actions.emplace_back(DeliverAnswer {*m_failedAnswer});
        return;
    }
    refuse(m_lastReason);
}

void CallFlow::planHedge(TimePoint now)
{
    m_hedgeAt.reset();
    if (!m_facts.idempotent || !mayRunAgain()) {
        return;
    }
    const Duration expected = m_attempts.back().expected;
    const TimePoint latest = m_facts.objective - scaled(expected, HedgeLead);
    const TimePoint earliest = now + scaled(expected, HedgeAfter);
    if (earliest < m_facts.objective) {
        m_hedgeAt = std::max(latest, earliest);
    }
}

void CallFlow::hedge(TimePoint now)
{
    m_hedgeAt.reset();
    if (!anyOpen() || !mayRunAgain()) {
        return;
    }
    std::vector<DaemonId> excluded = m_excluded;
    for (const Attempt &attempt : m_attempts) {
        excluded.push_back(attempt.target.daemon);
    }
    const Placement::Choice choice = m_parts.placement.pick(m_facts, excluded, now);
    const auto *placed = std::get_if<PlacedAttempt>(&choice);
    // A second run that would be late as well only adds load.
    if (placed && now + placed->expected <= m_facts.objective
        && m_parts.budget.tryAcquire(m_facts.service, now)) {
        send(*placed, AttemptCause::Hedge, now);
    }
}

void CallFlow::stopOpen()
{
    for (Attempt &attempt : m_attempts) {
        if (attempt.lifecycle.open()) {
            attempt.lifecycle.process(AttemptEvent::GivenUp);
            m_actions.emplace_back(StopAttempt {attempt.id});
        }
    }
}

bool CallFlow::anyOpen() const
{
    return std::ranges::any_of(m_attempts,
                               [](const Attempt &attempt) { return attempt.lifecycle.open(); });
}

std::size_t CallFlow::runs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_attempts, [](const Attempt &attempt) {
        return attempt.lifecycle.state() != AttemptState::NotRun;
    }));
}

bool CallFlow::mayRunAgain() const
{
    return runs() < m_facts.maxAttempts;
}

void CallFlow::armTimer()
{
    TimePoint at = m_facts.deadline;
    for (const auto &next : {m_hedgeAt, m_placeAt}) {
        at = next ? std::min(at, *next) : at;
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
    const Outcome told = outcome();
    // A refusal of the last attempt must not hide that an earlier one may have run.
    const bool hidden
        = told == Outcome::Unknown && reason != Reason::Deadline && reason != Reason::Cancelled;
    m_actions.emplace_back(RefuseCall {told, hidden ? Reason::AnswerLost : reason});
}

std::span<const CallAction> CallFlow::finish()
{
    if (!m_finished) {
        armTimer();
    }
    return m_actions;
}

} // namespace Coltsfootwell
