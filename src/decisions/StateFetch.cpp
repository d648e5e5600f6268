#include "decisions/StateFetch.h"

#include <algorithm>
#include <tuple>

namespace Coltsfootwell {

void StateFetch::stateReported(const Endpoint &peer, const ControlStateSummary &state)
{
    const auto it = std::ranges::find(m_peers, peer, &Peer::endpoint);
    if (it != m_peers.end()) {
        it->state = state;
        return;
    }
    if (m_peers.size() == MaxPeers) {
        m_peers.erase(std::ranges::min_element(m_peers, {}, [](const Peer &entry) {
            return std::tuple(entry.state.version, entry.state.position);
        }));
    }
    m_peers.push_back({peer, state, false});
}

bool StateFetch::isBehind(const ControlStateSummary &own) const
{
    return std::ranges::any_of(m_peers,
                               [&own](const Peer &peer) { return isAhead(peer.state, own); });
}

std::optional<Endpoint> StateFetch::nextPeer(const ControlStateSummary &own)
{
    std::erase_if(m_peers, [&own](const Peer &peer) { return !isAhead(peer.state, own); });
    const auto it = std::ranges::find(m_peers, false, &Peer::isTried);
    if (it == m_peers.end()) {
        m_peers.clear();
        return std::nullopt;
    }
    it->isTried = true;
    return it->endpoint;
}

} // namespace Coltsfootwell
