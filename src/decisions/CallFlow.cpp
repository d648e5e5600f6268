#include "decisions/CallFlow.h"

namespace Coltsfootwell {

CallFlow::CallFlow(CallFacts facts, Routing &routing, Random &random)
    : m_facts(std::move(facts)), m_routing(routing), m_random(random)
{
}

std::span<const CallAction> CallFlow::begin(TimePoint now)
{
    m_actions.clear();
    m_actions.emplace_back(SetTimer {m_facts.deadline});
    attemptNext(now);
    return m_actions;
}

std::span<const CallAction> CallFlow::refused(const AttemptId &attempt, Reason reason,
                                              TimePoint now)
{
    m_actions.clear();
    if (m_finished || attempt != m_current) {
        return m_actions;
    }
    if (m_attempts < MaxAttempts) {
        attemptNext(now);
    } else {
        refuse(Outcome::NotRun, reason);
    }
    return m_actions;
}

std::span<const CallAction> CallFlow::lost(const AttemptId &attempt, AttemptLoss loss, bool,
                                           TimePoint now)
{
    m_actions.clear();
    if (m_finished || attempt != m_current) {
        return m_actions;
    }
    if (loss == AttemptLoss::Unsent && m_attempts < MaxAttempts) {
        attemptNext(now);
    } else {
        refuse(loss == AttemptLoss::Unsent ? Outcome::NotRun : Outcome::Unknown,
               Reason::AnswerLost);
    }
    return m_actions;
}

std::span<const CallAction> CallFlow::answered(const AttemptId &attempt, TimePoint)
{
    m_actions.clear();
    if (m_finished || attempt != m_current) {
        m_actions.emplace_back(StopAttempt {attempt});
        return m_actions;
    }
    m_finished = true;
    m_actions.emplace_back(DeliverAnswer {attempt});
    return m_actions;
}

std::span<const CallAction> CallFlow::revocationEnded(const AttemptId &,
                                                      std::optional<RevokeVerdict>, TimePoint)
{
    m_actions.clear();
    return m_actions;
}

std::span<const CallAction> CallFlow::timeout(TimePoint now)
{
    m_actions.clear();
    if (!m_finished && now >= m_facts.deadline) {
        m_actions.emplace_back(StopAttempt {m_current});
        refuse(Outcome::Unknown, Reason::Deadline);
    }
    return m_actions;
}

std::span<const CallAction> CallFlow::cancelled(TimePoint)
{
    m_actions.clear();
    if (!m_finished) {
        m_actions.emplace_back(StopAttempt {m_current});
        refuse(Outcome::Unknown, Reason::Cancelled);
    }
    return m_actions;
}

void CallFlow::attemptNext(TimePoint now)
{
    const Routing::Choice choice = m_routing.pick(m_facts, m_tried, now);
    if (const auto *target = std::get_if<Target>(&choice)) {
        ++m_attempts;
        m_current = {m_random.next(), m_random.next()};
        m_tried.push_back(target->daemon);
        m_actions.emplace_back(SendAttempt {m_current, *target});
        return;
    }
    refuse(Outcome::NotRun, std::get<Reason>(choice));
}

void CallFlow::refuse(Outcome outcome, Reason reason)
{
    m_finished = true;
    m_actions.emplace_back(RefuseCall {outcome, reason});
}

} // namespace Coltsfootwell
