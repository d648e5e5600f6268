#include "services/OpenAttempts.h"

#include "decisions/AnswerBudget.h"
#include "decisions/RunLedger.h"
#include "services/LinkServer.h"
#include "wire/AnswerStatus.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace Coltsfootwell::Internal {

namespace {

using std::chrono::microseconds;

/// Time from the sending of an attempt after which no process is asked to revoke it: the ledger of
/// the serving daemon forgets a run twice as long after its start.
constexpr Duration MaxRevocableAge = std::chrono::seconds(RunLedger::RetentionTicks / 2);
/// Maximum length in bytes of a body that is sent with the run. Longer bodies are sent when the
/// serving daemon requests them, shortly before it starts the run.
constexpr std::size_t MaxInlineBodyBytes = 16 * 1024;
/// Maximum length in bytes of an answer that is taken when the memory for answers is used up, so
/// that small calls go on. Longer ones are dropped and sent again.
constexpr std::size_t MaxAlwaysTakenBytes = 4 * 1024;

microseconds timeUntil(TimePoint at, TimePoint now)
{
    return std::max(microseconds(0), std::chrono::duration_cast<microseconds>(at - now));
}

RunFrame makeRun(const RunAttempt &attempt, TimePoint now)
{
    RunFrame run;
    run.service = attempt.service;
    run.callerService = attempt.callerService;
    run.method = attempt.head->method;
    run.target = attempt.head->target;
    run.fields = attempt.head->headers;
    if (attempt.body && attempt.body->size() > MaxInlineBodyBytes) {
        run.pendingBodyBytes = attempt.body->size();
    } else if (attempt.body) {
        run.body = *attempt.body;
    }
    run.deadlineIn = timeUntil(attempt.deadline, now);
    run.objectiveIn = timeUntil(attempt.objective, now);
    run.startWithin = timeUntil(attempt.startBy, now);
    run.priority = attempt.priority;
    run.nested = attempt.nested;
    run.repeat = attempt.repeat;
    run.idempotent = attempt.idempotent;
    run.call = attempt.call;
    return run;
}

} // namespace

const FrameTable<OpenAttempts> OpenAttempts::FrameHandlers
    = FrameTable<OpenAttempts>()
          .with<ProceedFrame>(&OpenAttempts::bodyRequested)
          .with<AnswerFrame>(&OpenAttempts::answerReceived)
          .with<BodyPartFrame>(&OpenAttempts::answerPartReceived)
          .with<RefusalFrame>(&OpenAttempts::refusalReceived)
          .with<LostFrame>(&OpenAttempts::lossReceived);

OpenAttempts::OpenAttempts(const LinkClientDependencies &dependencies, const LinkSession &session,
                           std::function<void(const AttemptId &)> onEnded)
    : m_dependencies(dependencies), m_session(session), m_onEnded(std::move(onEnded)),
      m_longAnswers(std::make_shared<LongAnswers>(dependencies, session))
{
}

void OpenAttempts::add(RunAttempt attempt)
{
    OpenAttempt &openAttempt = m_attempts[attempt.attempt];
    openAttempt.attempt = std::move(attempt);
    if (m_session.connection) {
        send(openAttempt);
    }
}

void OpenAttempts::cancel(const AttemptId &attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    if (it->second.wasSent && m_session.connection) {
        m_session.connection->send({attempt, {}, CancelFrame {}});
    } else if (it->second.wasSent) {
        m_pendingCancels.push_back({attempt, now()});
    }
    complete(attempt, AttemptLost {});
}

void OpenAttempts::expireCancels()
{
    const TimePoint at = now();
    while (!m_pendingCancels.empty()
           && at - m_pendingCancels.front().at >= LinkServer::OrphanTimeout) {
        m_pendingCancels.pop_front();
    }
}

void OpenAttempts::connected()
{
    expireCancels();
    for (const PendingCancel &cancel : std::exchange(m_pendingCancels, {})) {
        m_session.connection->send({cancel.attempt, {}, CancelFrame {}});
    }
    for (auto &[id, openAttempt] : m_attempts) {
        openAttempt.wasSent ? resume(openAttempt) : send(openAttempt);
    }
}

void OpenAttempts::helloReceived()
{
    for (auto &[id, openAttempt] : m_attempts) {
        if (std::exchange(openAttempt.awaitsHello, false)) {
            openAttempt.sentTo = m_session.daemon.incarnation;
        }
    }
}

void OpenAttempts::connectionBroken()
{
    m_outgoingBodies.clear();
    m_longAnswers->clear();
    for (auto &[id, openAttempt] : m_attempts) {
        // The next connection may lead to another process, which has not received the attempt.
        openAttempt.awaitsHello = false;
    }
}

void OpenAttempts::fail(bool idempotentOnly)
{
    std::vector<std::pair<AttemptId, bool>> ended;
    std::optional<DaemonId> daemon;
    for (const auto &[id, openAttempt] : m_attempts) {
        daemon = openAttempt.attempt.target.daemon;
        if (!openAttempt.wasSent || openAttempt.attempt.idempotent || !idempotentOnly) {
            ended.emplace_back(id, openAttempt.wasSent);
        }
    }
    if (daemon) {
        m_dependencies.onDaemonUnreachable({*daemon});
    }
    for (const auto &[id, wasSent] : ended) {
        complete(id,
                 wasSent ? AttemptResult(AttemptLost {})
                         : AttemptResult(AttemptRefused {Reason::Unreachable, {}, false}));
    }
}

void OpenAttempts::send(OpenAttempt &openAttempt)
{
    openAttempt.wasSent = true;
    openAttempt.sentTo = m_session.daemon.incarnation;
    openAttempt.awaitsHello = m_session.daemon.name.empty();
    openAttempt.sentAt = now();
    const RunAttempt &attempt = openAttempt.attempt;
    m_session.connection->send({attempt.attempt, {}, makeRun(attempt, openAttempt.sentAt)});
}

void OpenAttempts::resume(OpenAttempt &openAttempt)
{
    const RunAttempt &attempt = openAttempt.attempt;
    if (now() - openAttempt.sentAt > MaxRevocableAge) {
        openAttempt.sentTo = 0;
    }
    ++openAttempt.resumptions;
    m_dependencies.sendTelemetry(LogEvent {
        "attempt.resumed", attempt.call.requestId,
        "daemon=" + attempt.target.daemon.name + " sentTo=" + std::to_string(openAttempt.sentTo)
            + " resumptions=" + std::to_string(openAttempt.resumptions)});
    m_session.connection->send({attempt.attempt, {}, ResumeFrame {openAttempt.sentTo}});
}

void OpenAttempts::complete(const AttemptId &attempt, AttemptResult result)
{
    m_onEnded(attempt);
    if (auto node = m_attempts.extract(attempt)) {
        m_outgoingBodies.remove(attempt);
        m_longAnswers->remove(attempt);
        node.mapped().attempt.reply(std::move(result));
    }
}

void OpenAttempts::bodyRequested(LinkFrame &frame)
{
    const auto it = m_attempts.find(frame.attempt);
    if (it != m_attempts.end() && it->second.attempt.body) {
        m_outgoingBodies.start(frame.attempt, it->second.attempt.body);
        sendBodyParts();
    }
}

void OpenAttempts::answerReceived(LinkFrame &frame)
{
    logResumedResult(frame.attempt, "answer");
    auto &answer = std::get<AnswerFrame>(frame.body);
    if (statusClass(answer.status) != StatusClass::Final) {
        cancel(frame.attempt);
        return;
    }
    if (answer.pendingBodyBytes > 0) {
        longAnswerReceived(frame);
        return;
    }
    const auto it = m_attempts.find(frame.attempt);
    if (it == m_attempts.end()) {
        return;
    }
    const std::size_t bytes = answer.body.size();
    AnswerMemory &memory = *m_dependencies.answerMemory;
    std::shared_ptr<void> held = std::exchange(it->second.answerMemory, nullptr);
    if (!held) {
        held = bytes <= MaxAlwaysTakenBytes ? memory.take(bytes) : memory.tryTake(bytes);
    }
    if (!held) {
        it->second.isAnswered = true;
        requestAgain(frame.attempt, bytes);
        return;
    }
    complete(frame.attempt,
             AttemptAnswered {answer.status, std::move(answer.fields),
                              makeHeldBody(std::move(answer.body), std::move(held)), answer.failure,
                              frame.load});
}

void OpenAttempts::requestAgain(const AttemptId &attempt, std::size_t bytes)
{
    m_dependencies.answerMemory->waitForRelease(
        bytes, [weak = std::weak_ptr(m_self), attempt, bytes] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            OpenAttempts &attempts = **self;
            const auto it = attempts.m_attempts.find(attempt);
            if (it == attempts.m_attempts.end() || it->second.answerMemory) {
                return;
            }
            it->second.answerMemory = attempts.m_dependencies.answerMemory->tryTake(bytes);
            if (!it->second.answerMemory) {
                attempts.requestAgain(attempt, bytes);
            } else if (attempts.m_session.connection) {
                attempts.m_session.connection->send({attempt, {}, ResumeFrame {it->second.sentTo}});
            }
        });
}

void OpenAttempts::longAnswerReceived(LinkFrame &frame)
{
    if (frame.load && !m_session.daemon.name.empty()) {
        // Newer reports arrive before the end of the body.
        m_dependencies.onLoadReport({m_session.daemon, *frame.load});
    }
    const auto it = m_attempts.find(frame.attempt);
    if (it == m_attempts.end()) {
        // The attempt was cancelled when it had just ended.
        m_session.connection->send({frame.attempt, {}, CancelFrame {}});
        return;
    }
    it->second.isAnswered = true;
    AnswerFrame &answer = std::get<AnswerFrame>(frame.body);
    if (answer.pendingBodyBytes > AnswerBudget::MaxBytes) {
        cancel(frame.attempt);
        return;
    }
    m_longAnswers->announced(it->second.attempt, std::move(answer));
}

void OpenAttempts::answerPartReceived(LinkFrame &frame)
{
    switch (m_longAnswers->append(frame.attempt, std::get<BodyPartFrame>(frame.body))) {
    case AnswerPartVerdict::Ignored:
    case AnswerPartVerdict::MoreFollows:
        return;
    case AnswerPartVerdict::Invalid:
        cancel(frame.attempt);
        return;
    case AnswerPartVerdict::Whole:
        m_session.connection->send({frame.attempt, {}, CancelFrame {}});
        complete(frame.attempt, m_longAnswers->take(frame.attempt));
        return;
    }
}

void OpenAttempts::refusalReceived(LinkFrame &frame)
{
    const auto &refusal = std::get<RefusalFrame>(frame.body);
    logResumedResult(frame.attempt, "refused-" + std::string(reasonName(refusal.reason)));
    const auto it = m_attempts.find(frame.attempt);
    const bool hasRun = it != m_attempts.end() && it->second.isAnswered;
    complete(frame.attempt,
             hasRun ? AttemptResult(AttemptLost {frame.load})
                    : AttemptResult(AttemptRefused {refusal.reason, frame.load, refusal.byServer}));
}

void OpenAttempts::lossReceived(LinkFrame &frame)
{
    logResumedResult(frame.attempt, "lost");
    complete(frame.attempt, AttemptLost {frame.load});
}

void OpenAttempts::logResumedResult(const AttemptId &attempt, std::string_view result)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || it->second.resumptions == 0) {
        return;
    }
    const DaemonId &daemon = m_session.daemon;
    m_dependencies.sendTelemetry(LogEvent {
        "attempt.resumedEnded", it->second.attempt.call.requestId,
        "daemon=" + daemon.name + " incarnation=" + std::to_string(daemon.incarnation)
            + " sentTo=" + std::to_string(it->second.sentTo) + " result=" + std::string(result)});
}

} // namespace Coltsfootwell::Internal
