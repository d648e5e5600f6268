// Encodes what a caller is answered as the bytes of an HTTP message.
#pragma once

#include "services/CallMessages.h"
#include "services/ControlMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \brief What the form of an answer depends on besides its content.
struct AnswerForm
{
    /// The request had the method HEAD: the answer has no body.
    bool headRequest = false;
    /// The connection stays open.
    bool keepAlive = true;
};

/// \param dialect spelling of headers.
/// \param answered answer of a backend server.
std::string answerBytes(const HttpDialect &dialect, const CallAnswered &answered,
                        const AnswerForm &form);

/// \param dialect spelling of headers.
/// \param refused answer of this daemon.
/// \param requestId of the call; empty when it has none.
std::string refusalBytes(const HttpDialect &dialect, const CallRefused &refused,
                         std::string_view requestId, const AnswerForm &form);

/// \param answer to a request for the daemon itself.
std::string controlBytes(const ControlAnswer &answer, const AnswerForm &form);

} // namespace Coltsfootwell::Internal
