#include "decisions/StateFetch.h"

#include <algorithm>

namespace Coltsfootwell {

void StateFetch::positionReported(const Endpoint &teller, std::uint64_t position)
{
    const auto it = std::ranges::find(m_tellers, teller, &Teller::endpoint);
    if (it != m_tellers.end()) {
        it->position = std::max(it->position, position);
        return;
    }
    if (m_tellers.size() == MaxTellers) {
        m_tellers.erase(std::ranges::min_element(m_tellers, {}, &Teller::position));
    }
    m_tellers.push_back({teller, position, false});
}

bool StateFetch::isBehind(std::uint64_t position) const
{
    return std::ranges::any_of(
        m_tellers, [position](const Teller &teller) { return teller.position > position; });
}

std::optional<Endpoint> StateFetch::nextPeer(std::uint64_t position)
{
    std::erase_if(m_tellers,
                  [position](const Teller &teller) { return teller.position <= position; });
    const auto it = std::ranges::find(m_tellers, false, &Teller::asked);
    if (it == m_tellers.end()) {
        m_tellers.clear();
        return std::nullopt;
    }
    it->asked = true;
    return it->endpoint;
}

} // namespace Coltsfootwell
