#include "decisions/ClaimFold.h"

namespace Coltsfootwell {

ClaimFold::ClaimFold(std::string keyHash) : m_keyHash(std::move(keyHash))
{
}

void ClaimFold::add(const Claim &claim)
{
    if (!m_winner && claim.keyHash == m_keyHash) {
        m_winner = claim.daemon;
    }
}

} // namespace Coltsfootwell
