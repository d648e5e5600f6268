// Part of the service "links": long answers that one peer has announced. Their bodies are requested
// once there is memory for them, and received in parts.
//
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/IncomingAnswer.h"
#include "services/LinkClientDependencies.h"
#include "services/LinkSession.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Coltsfootwell::Internal {

/// \brief Result of LongAnswers::append().
enum class AnswerPartVerdict {
    /// No such answer is expected over this connection.
    Ignored,
    MoreFollows,
    Whole,
    /// The body does not have its announced length, or was not requested.
    Invalid,
};

/// \brief The long answers of one peer, over its current connection.
class LongAnswers : public std::enable_shared_from_this<LongAnswers>
{
public:
    /// \param dependencies must outlive the object.
    /// \param session must outlive the object.
    LongAnswers(const LinkClientDependencies &dependencies, const LinkSession &session)
        : m_dependencies(dependencies), m_session(session)
    {
    }

    /// \brief Requests the body of an answer as soon as there is memory for it.
    /// \param attempt the attempt that is answered.
    /// \param head the answer, with the length of the body that follows.
    void announced(const RunAttempt &attempt, AnswerFrame head);

    /// \brief Adds a part to the body of an answer.
    AnswerPartVerdict append(const AttemptId &attempt, const BodyPartFrame &part);

    /// \brief Removes a whole answer.
    /// \param attempt one for which append() has just returned Whole.
    AttemptAnswered take(const AttemptId &attempt);

    /// \brief Drops an answer that is not needed any more.
    void remove(const AttemptId &attempt);

    /// \brief Drops all answers when their connection has broken: the bodies are sent again from
    /// their beginning over the next one.
    void clear();

private:
    struct LongAnswer
    {
        std::string requestId;
        /// Name of the serving daemon.
        std::string daemon;
        IncomingAnswer answer;
    };

    void requestBody(const AttemptId &attempt);
    /// Logs how long an answer has waited for memory, once the wait has ended.
    void logWait(LongAnswer &entry);

    const LinkClientDependencies &m_dependencies;
    const LinkSession &m_session;
    std::unordered_map<AttemptId, LongAnswer> m_answers;
};

} // namespace Coltsfootwell::Internal
