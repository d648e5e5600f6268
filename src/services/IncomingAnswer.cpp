#include "services/IncomingAnswer.h"

#include <utility>

namespace Coltsfootwell::Internal {

bool IncomingAnswer::reserve()
{
    if (!isReserved() && (m_reservation = m_memory->tryTake(bytes()))) {
        m_body.reserve(bytes());
    }
    return isReserved();
}

bool IncomingAnswer::append(std::string_view part)
{
    if (!isReserved() || part.size() > bytes() - m_body.size()) {
        return false;
    }
    m_body += part;
    return true;
}

AttemptAnswered IncomingAnswer::take()
{
    return {m_head.status, std::move(m_head.fields),
            makeHeldBody(std::move(m_body), std::move(m_reservation)), m_head.failure,
            std::nullopt};
}

} // namespace Coltsfootwell::Internal
