// Selection of the peer from which a daemon fetches a newer control state.
//
// A peer may be frozen, disconnected or slow, so peers with a newer state are tried one after
// another until one answers. They are tried in the order in which they reported their positions,
// because the reports of the nearest peers arrive first. The store is read when no peer has
// answered.
#pragma once

#include "decisions/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Coltsfootwell {

/// \brief The peers that have reported a newer control state.
class StateFetch
{
public:
    /// Maximum number of peers that are remembered; the one with the lowest position is replaced.
    static constexpr std::size_t MaxPeers = 8;

    /// \brief A peer has reported the position of its control state; see ControlState::position().
    void positionReported(const Endpoint &peer, std::uint64_t position);

    /// \param position position of this daemon's control state.
    /// \return true while a peer is ahead of it.
    bool isBehind(std::uint64_t position) const;

    /// \param position position of this daemon's control state.
    /// \return the peer to try next; empty if all have been tried. The list of peers is then
    /// cleared, so that they are tried again after their next report.
    std::optional<Endpoint> nextPeer(std::uint64_t position);

private:
    struct Peer
    {
        Endpoint endpoint;
        std::uint64_t position = 0;
        bool isTried = false;
    };

    std::vector<Peer> m_peers;
};

} // namespace Coltsfootwell
