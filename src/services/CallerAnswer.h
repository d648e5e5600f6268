// Serializes answers to callers as HTTP messages.
#pragma once

#include "services/CallMessages.h"
#include "services/ControlMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \brief Framing of an HTTP answer, independent of its content.
struct AnswerFraming
{
    /// True if the method of the request was HEAD; the answer then has no body.
    bool headRequest = false;
    /// True if the connection stays open after the answer.
    bool keepAlive = true;
};

/// \brief An HTTP message that is ready to be written.
struct SerializedAnswer
{
    std::string bytes;
    /// A long body, which follows the bytes; null if they contain the whole message.
    BodyPtr body;
    /// A short body, which was copied to the bytes; null if there is none. It keeps the memory that
    /// was reserved for the answer.
    BodyPtr copiedBody = nullptr;
};

/// \param dialect header dialect.
/// \param answered answer of a backend server.
/// \return the HTTP message; it shares a long body with the answer.
SerializedAnswer serializeAnswer(const HttpDialect &dialect, const CallAnswered &answered,
                                 const AnswerFraming &framing);

/// \param dialect header dialect.
/// \param refused refusal by this daemon.
/// \param requestId id of the request; empty if it has none.
/// \return the HTTP message.
SerializedAnswer serializeRefusal(const HttpDialect &dialect, const CallRefused &refused,
                                  std::string_view requestId, const AnswerFraming &framing);

/// \param answer answer to a request on a control path of the daemon itself.
/// \return the HTTP message.
SerializedAnswer serializeControlAnswer(const ControlAnswer &answer, const AnswerFraming &framing);

} // namespace Coltsfootwell::Internal
