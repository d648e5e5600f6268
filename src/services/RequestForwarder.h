// Hands the requests of callers to the services that answer them: to "calls", or to the service of
// a control path.
// Include only from .cpp files, since it includes Beast.
#pragma once

#include "services/PendingAnswers.h"
#include "services/RequestReader.h"
#include "services/SessionContext.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \return true if a request is answered by the daemon itself instead of a backend server.
bool isControlRequest(const SessionContext &context,
                      const http::request<http::string_body> &message);

/// \param context state shared by all sessions.
/// \param request complete request.
/// \param onAnswered called when the request has been answered, unless that happens at once.
/// \return the exchange of the request.
std::shared_ptr<Exchange> forwardRequest(const std::shared_ptr<SessionContext> &context,
                                         ReceivedRequest request, std::function<void()> onAnswered);

/// \brief Logs a request that is neither processed nor answered.
/// \param reason value of the log line's field "reason".
void logDroppedRequest(const SessionContext &context,
                       const http::request<http::string_body> &message, std::string_view reason);

/// \param context state shared by all sessions.
/// \param reason why the request was not read to its end.
/// \param fields its headers, as far as they were read.
/// \return an answered exchange, after which the connection is closed.
std::shared_ptr<Exchange> refuseRequest(const std::shared_ptr<SessionContext> &context,
                                        Reason reason, const http::fields &fields);

/// \param context state shared by all sessions.
/// \param cause why there is no memory for the request; value of the log line's field "reason".
/// \param fields headers of the request, as far as they were read.
/// \return an answered exchange, after which the connection is closed.
std::shared_ptr<Exchange> refuseForMemory(const std::shared_ptr<SessionContext> &context,
                                          std::string_view cause, const http::fields &fields);

} // namespace Coltsfootwell::Internal
