#include "decisions/BodyBudget.h"

namespace Coltsfootwell {

bool BodyBudget::tryGrow(std::size_t held, std::size_t bytes)
{
    const std::size_t others = m_reserved - held;
    if (others > 0 && others + bytes > m_maxBytes) {
        return false;
    }
    m_reserved = others + bytes;
    return true;
}

} // namespace Coltsfootwell
