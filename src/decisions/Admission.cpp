#include "decisions/Admission.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Weight of one answer in the moving average is 1 / AverageSpan.
constexpr int AverageSpan = 8;
/// Failures in a row after which a cold server is only tried by single calls.
constexpr unsigned BadUntilProbation = 2 * Admission::SuspectsUntilCold;
/// Good answers of a cold server after which their average counts as its usual one; without this a
/// server that has become slower for good would stay at the start value for ever.
constexpr unsigned ColdUntilNormal = 200;
/// The limit grows only on answers that take at most this multiple of the moving average. With the
/// SlowFactor in its place the limit of a modelled cold server grew while its answers slowed down.
constexpr int GrowthFactor = 2;
/// A queued call waits for at most 1 / QueueShare of its remaining time.
constexpr int QueueShare = 4;

Duration nextAverage(Duration average, Duration elapsed)
{
    return average == Duration() ? elapsed : average + (elapsed - average) / AverageSpan;
}

} // namespace

void Admission::rulesChanged(const ServiceRules &rules)
{
    m_rules = rules;
}

Admission::Outputs Admission::announced(unsigned slots, TimePoint now)
{
    m_slots = slots;
    m_drainAnnounced = false;
    m_average = {};
    m_coldAverage = {};
    m_coldAnswers = 0;
    m_badInRow = 0;
    m_lifecycle.handle(BackendEvent::Announced);
    m_reportsCold = false;
    startCold();
    return decideQueue(now);
}

Admission::Outputs Admission::drainAnnounced(TimePoint now)
{
    m_drainAnnounced = true;
    m_lifecycle.handle(BackendEvent::Draining);
    return decideQueue(now);
}

Admission::Outputs Admission::serverReported(BackendState state, TimePoint now)
{
    if (m_lifecycle.handle(BackendEvent::ProbeAnswered)) {
        startCold();
    }
    m_reportsCold = state == BackendState::Cold;
    m_awaitsReport = false;
    if (state == BackendState::Draining) {
        m_lifecycle.handle(BackendEvent::Draining);
    } else if (m_lifecycle.state() == BackendState::Draining && !m_drainAnnounced) {
        m_lifecycle.handle(BackendEvent::DrainEnded);
        startCold();
    } else if (state == BackendState::Cold && m_lifecycle.handle(BackendEvent::TurnedCold)) {
        startCold();
    }
    return decideQueue(now);
}

Admission::Outputs Admission::probeLost(TimePoint now)
{
    m_lifecycle.handle(BackendEvent::Lost);
    return decideQueue(now);
}

Admission::Outputs Admission::warmAgain(TimePoint now)
{
    turnCold();
    return decideQueue(now);
}

AdmissionVerdict Admission::admit(const AttemptId &call, TimePoint deadline, TimePoint now,
                                  Reason &reason)
{
    if (const auto closed = closedReason()) {
        reason = *closed;
        return AdmissionVerdict::Refused;
    }
    if (now >= deadline) {
        reason = Reason::Deadline;
        return AdmissionVerdict::Refused;
    }
    if (m_queue.empty() && hasSlot(now)) {
        takeSlot(now);
        return AdmissionVerdict::Admitted;
    }
    // A cold server gets a queue no longer than its limit, so that calls go elsewhere early.
    if (m_queue.size() >= std::min(m_limit, m_slots) || m_badInRow >= BadUntilProbation) {
        reason = state() == BackendState::Cold ? Reason::Cold : Reason::Overloaded;
        return AdmissionVerdict::Refused;
    }
    const Duration wait = std::min<Duration>((deadline - now) / QueueShare, MaxQueueWait);
    m_queue.push_back({call, deadline, now + wait});
    return AdmissionVerdict::Queued;
}

bool Admission::withdraw(const AttemptId &call)
{
    return std::erase_if(m_queue, [&](const Waiting &waiting) { return waiting.call == call; }) > 0;
}

Admission::Outputs Admission::finished(RunEnd end, Duration elapsed, TimePoint now)
{
    --m_inUse;
    switch (end) {
    case RunEnd::Good:
    case RunEnd::Bad:
        m_lifecycle.handle(BackendEvent::Answered);
        judgeAnswer(end, elapsed, now);
        break;
    case RunEnd::Lost:
    case RunEnd::Unreachable:
        judgeAnswer(end, elapsed, now);
        m_lifecycle.handle(BackendEvent::Lost);
        break;
    case RunEnd::Shed:
        m_lifecycle.handle(BackendEvent::Answered);
        shed(now);
        break;
    case RunEnd::Unjudged:
        break;
    }
    return decideQueue(now);
}

Admission::Outputs Admission::tick(TimePoint now)
{
    return decideQueue(now);
}

std::optional<TimePoint> Admission::nextTick() const
{
    const auto it = std::ranges::min_element(m_queue, {}, &Waiting::until);
    return it == m_queue.end() ? std::nullopt : std::optional(it->until);
}

LoadReport Admission::report() const
{
    const bool open = !closedReason();
    return {m_inUse, static_cast<std::uint32_t>(m_queue.size()), open ? m_limit : 0, state()};
}

std::optional<Reason> Admission::closedReason() const
{
    switch (state()) {
    case BackendState::Absent:
    case BackendState::Gone:
        return Reason::NoBackendServer;
    case BackendState::Draining:
        return Reason::Draining;
    case BackendState::Cold:
    case BackendState::Warm:
        break;
    }
    return std::nullopt;
}

bool Admission::hasSlot(TimePoint now) const
{
    if (m_badInRow >= BadUntilProbation) {
        return m_inUse == 0 && now - m_lastStart >= ProbationPeriod;
    }
    return m_inUse < m_limit;
}

void Admission::takeSlot(TimePoint now)
{
    ++m_inUse;
    m_lastStart = now;
}

void Admission::startCold()
{
    m_limit = std::min(std::max(1U, m_rules.coldStart.initialSlots), m_slots);
    m_goodAnswers = 0;
    m_suspectsInRow = 0;
    m_heldSince.reset();
    m_awaitsReport = m_usesReports;
}

void Admission::useReports()
{
    m_usesReports = true;
}

bool Admission::isHeld(TimePoint now)
{
    if (state() != BackendState::Cold || !(m_reportsCold || m_awaitsReport)) {
        m_heldSince.reset();
        return false;
    }
    if (!m_heldSince) {
        m_heldSince = now;
    }
    return now - *m_heldSince < MaxReportHold;
}

void Admission::judgeAnswer(RunEnd end, Duration elapsed, TimePoint now)
{
    const bool good = end == RunEnd::Good;
    m_badInRow = good ? 0 : m_badInRow + 1;
    if (good && state() == BackendState::Cold) {
        learnColdAverage(elapsed);
    }
    const bool slow = m_average > Duration() && elapsed > m_average * SlowFactor;
    if (!good || slow) {
        m_goodAnswers = 0;
        if (++m_suspectsInRow >= SuspectsUntilCold) {
            turnCold();
        }
        return;
    }
    m_suspectsInRow = 0;
    learnAverage(elapsed);
    if (elapsed <= m_average * GrowthFactor && !isHeld(now)) {
        grow();
    }
}

void Admission::turnCold()
{
    if (m_lifecycle.handle(BackendEvent::TurnedCold)) {
        m_coldAverage = {};
        m_coldAnswers = 0;
    }
    startCold();
}

void Admission::learnColdAverage(Duration elapsed)
{
    m_coldAverage = nextAverage(m_coldAverage, elapsed);
    if (++m_coldAnswers >= ColdUntilNormal) {
        m_coldAnswers = 0;
        m_average = std::max(m_average, m_coldAverage);
    }
}

void Admission::learnAverage(Duration elapsed)
{
    const Duration next = nextAverage(m_average, elapsed);
    const bool rises = m_average > Duration() && next > m_average;
    // Answers of a cold server are no measure of a warm one, unless they are faster.
    if (state() != BackendState::Cold || !rises) {
        m_average = next;
    }
}

void Admission::grow()
{
    if (++m_goodAnswers < m_rules.coldStart.growAfterAnswers) {
        return;
    }
    m_goodAnswers = 0;
    m_limit = std::min(m_limit + 1, m_slots);
    if (m_limit == m_slots) {
        m_lifecycle.handle(BackendEvent::Warmed);
    }
}

void Admission::shed(TimePoint now)
{
    m_goodAnswers = 0;
    // The refusals of one overload arrive together; one cut answers all of them.
    if (now >= m_nextShedCut) {
        m_limit = std::max(1U, m_limit - 1);
        m_nextShedCut = now + m_average;
    }
}

Admission::Outputs Admission::decideQueue(TimePoint now)
{
    m_outputs.clear();
    const std::optional<Reason> closed = closedReason();
    const Reason busy = state() == BackendState::Cold ? Reason::Cold : Reason::Overloaded;
    std::erase_if(m_queue, [&](const Waiting &waiting) {
        const bool late = now >= waiting.deadline;
        if (!closed && !late && now < waiting.until) {
            return false;
        }
        m_outputs.push_back({waiting.call, closed ? *closed : late ? Reason::Deadline : busy});
        return true;
    });
    while (!m_queue.empty() && hasSlot(now)) {
        takeSlot(now);
        m_outputs.push_back({m_queue.front().call, std::nullopt});
        m_queue.pop_front();
    }
    return m_outputs;
}

} // namespace Coltsfootwell
