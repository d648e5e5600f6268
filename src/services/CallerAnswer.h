// Encodes what a caller is answered as the bytes of an HTTP message.
#pragma once

#include "services/CallMessages.h"
#include "services/ControlMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \brief What the form of an answer depends on besides its content.
struct AnswerFraming
{
    /// The request had the method HEAD: the answer has no body.
    bool headRequest = false;
    /// The connection stays open.
    bool keepAlive = true;
};

/// \param dialect spelling of headers.
/// \param answered answer of a backend server.
std::string serializeAnswer(const HttpDialect &dialect, const CallAnswered &answered,
                            const AnswerFraming &form);

/// \param dialect spelling of headers.
/// \param refused answer of this daemon.
/// \param requestId of the call; empty when it has none.
std::string serializeRefusal(const HttpDialect &dialect, const CallRefused &refused,
                             std::string_view requestId, const AnswerFraming &form);

/// \param answer to a request for the daemon itself.
std::string serializeControlAnswer(const ControlAnswer &answer, const AnswerFraming &form);

} // namespace Coltsfootwell::Internal
