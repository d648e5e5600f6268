#include "decisions/ResourceLevel.h"

namespace Coltsfootwell {

ResourceChange ResourceLevel::update(std::uint64_t used, std::uint64_t limit)
{
    const double fraction = limit == 0 ? 0 : static_cast<double>(used) / static_cast<double>(limit);
    if (!m_isHigh && fraction > HighFraction) {
        m_isHigh = true;
        return ResourceChange::BecameHigh;
    }
    if (m_isHigh && fraction < NormalFraction) {
        m_isHigh = false;
        return ResourceChange::BecameNormal;
    }
    return ResourceChange::None;
}

} // namespace Coltsfootwell
