// Selection of the peer from which a daemon fetches a newer control state.
//
// A peer may be frozen, disconnected or slow, so peers with a newer state are tried one after
// another until one answers. They are tried in the order in which they reported their positions,
// because the reports of the nearest peers arrive first. The store is read when no peer has
// answered.
#pragma once

#include "decisions/ControlStateSummary.h"
#include "decisions/Member.h"

#include <optional>
#include <vector>

namespace Coltsfootwell {

/// \brief The peers that have reported a newer control state.
class StateFetch
{
public:
    /// Maximum number of peers that are remembered; the one with the lowest version is replaced, or
    /// with the lowest position of those that hold the same version.
    static constexpr std::size_t MaxPeers = 8;

    /// \brief A peer has reported its control state.
    void stateReported(const Endpoint &peer, const ControlStateSummary &state);

    /// \param own control state of this daemon.
    /// \return true while a peer is ahead of it; see isAhead().
    bool isBehind(const ControlStateSummary &own) const;

    /// \param own control state of this daemon.
    /// \return the peer to try next; empty if all have been tried. The list of peers is then
    /// cleared, so that they are tried again after their next report.
    std::optional<Endpoint> nextPeer(const ControlStateSummary &own);

private:
    struct Peer
    {
        Endpoint endpoint;
        ControlStateSummary state;
        bool isTried = false;
    };

    std::vector<Peer> m_peers;
};

} // namespace Coltsfootwell
