#include "decisions/StateFetch.h"

#include <algorithm>

namespace Coltsfootwell {

void StateFetch::positionReported(const Endpoint &peer, std::uint64_t position)
{
    const auto it = std::ranges::find(m_peers, peer, &Peer::endpoint);
    if (it != m_peers.end()) {
        it->position = std::max(it->position, position);
        return;
    }
    if (m_peers.size() == MaxPeers) {
        m_peers.erase(std::ranges::min_element(m_peers, {}, &Peer::position));
    }
    m_peers.push_back({peer, position, false});
}

bool StateFetch::isBehind(std::uint64_t position) const
{
    return std::ranges::any_of(m_peers,
                               [position](const Peer &peer) { return peer.position > position; });
}

std::optional<Endpoint> StateFetch::nextPeer(std::uint64_t position)
{
    std::erase_if(m_peers, [position](const Peer &peer) { return peer.position <= position; });
    const auto it = std::ranges::find(m_peers, false, &Peer::isTried);
    if (it == m_peers.end()) {
        m_peers.clear();
        return std::nullopt;
    }
    it->isTried = true;
    return it->endpoint;
}

} // namespace Coltsfootwell
