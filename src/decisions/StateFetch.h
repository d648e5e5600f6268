// Whom a daemon asks when others know more of the operators' state than it does.
//
// Answers the failure of the one that is asked: it may be frozen, cut off or slow just then.
// Daemons that are known to know more are asked one after the other, in the order in which they
// were heard of, since the nearest are heard first; when none has answered, it is the turn of the
// store.
#pragma once

#include "decisions/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Coltsfootwell {

/// \brief Daemons that know more.
class StateFetch
{
public:
    /// Daemons that are remembered.
    static constexpr std::size_t MaxPeers = 8;

    /// \brief A daemon has told how much it knows.
    /// \param position see ControlState.
    void positionReported(const Endpoint &peer, std::uint64_t position);

    /// \param position what is known by now.
    /// \return true while another daemon knows more.
    bool isBehind(std::uint64_t position) const;

    /// \param position what is known by now.
    /// \return the daemon to ask next; nothing when all were asked, after which they are asked
    /// again.
    std::optional<Endpoint> nextPeer(std::uint64_t position);

private:
    struct Peer
    {
        Endpoint endpoint;
        std::uint64_t position = 0;
        bool asked = false;
    };

    std::vector<Peer> m_peers;
};

} // namespace Coltsfootwell
