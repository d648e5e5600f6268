#include "services/LongAnswers.h"

#include <utility>

namespace Coltsfootwell::Internal {

void LongAnswers::announced(const RunAttempt &attempt, AnswerFrame head)
{
    m_answers.insert_or_assign(attempt.attempt,
                               LongAnswer {attempt.call.requestId,
                                           attempt.target.daemon.name,
                                           {std::move(head), m_dependencies.answerMemory}});
    requestBody(attempt.attempt);
}

void LongAnswers::requestBody(const AttemptId &attempt)
{
    const auto it = m_answers.find(attempt);
    if (it == m_answers.end() || it->second.answer.isReserved()) {
        return;
    }
    IncomingAnswer &answer = it->second.answer;
    if (answer.reserve()) {
        logWait(it->second);
        m_session.connection->send({attempt, {}, ProceedFrame {}});
        return;
    }
    if (!answer.waitsSince) {
        answer.waitsSince = m_dependencies.executor.now();
    }
    m_dependencies.answerMemory->waitForRelease(answer.bytes(), [weak = weak_from_this(), attempt] {
        if (const auto self = weak.lock()) {
            self->requestBody(attempt);
        }
    });
}

AnswerPartVerdict LongAnswers::append(const AttemptId &attempt, const BodyPartFrame &part)
{
    const auto it = m_answers.find(attempt);
    if (it == m_answers.end()) {
        return AnswerPartVerdict::Ignored;
    }
    IncomingAnswer &answer = it->second.answer;
    if (!answer.append(part.bytes) || (part.last && !answer.isWhole())) {
        return AnswerPartVerdict::Invalid;
    }
    return part.last ? AnswerPartVerdict::Whole : AnswerPartVerdict::MoreFollows;
}

AttemptAnswered LongAnswers::take(const AttemptId &attempt)
{
    return m_answers.extract(attempt).mapped().answer.take();
}

void LongAnswers::remove(const AttemptId &attempt)
{
    if (auto node = m_answers.extract(attempt)) {
        logWait(node.mapped());
    }
}

void LongAnswers::clear()
{
    for (auto &[attempt, entry] : m_answers) {
        logWait(entry);
    }
    m_answers.clear();
}

void LongAnswers::logWait(LongAnswer &entry)
{
    if (!entry.answer.waitsSince) {
        return;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_dependencies.executor.now() - *std::exchange(entry.answer.waitsSince, std::nullopt));
    m_dependencies.sendTelemetry(LogEvent {"answer.waited", entry.requestId,
                                           "from=link daemon=" + entry.daemon
                                               + " waitedMs=" + std::to_string(waited.count())});
}

} // namespace Coltsfootwell::Internal
