#include "services/SessionContext.h"

#include <utility>

namespace Coltsfootwell::Internal {

void SessionContext::removeSession(SessionHandle *session)
{
    sessions.erase(session);
    if (onSessionEnded) {
        executor.post(std::exchange(onSessionEnded, nullptr));
    }
    if (sessions.empty() && onAllSessionsEnded) {
        executor.post(std::exchange(onAllSessionsEnded, nullptr));
    }
}

} // namespace Coltsfootwell::Internal
