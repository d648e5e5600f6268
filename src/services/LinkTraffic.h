// Byte counters of the connections between daemons. Calls and control traffic are counted
// separately, since the target deployment size implies a limit on the control traffic of each
// daemon.
#pragma once

#include "wire/LinkFrame.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coltsfootwell::Internal {

/// \brief Where the other end of a connection is. Bytes to other data centres and regions cost
/// more.
enum class LinkDestination : std::uint8_t {
    /// The daemon has not named itself, or is not a known member.
    Unknown,
    OwnDataCentre,
    OtherDataCentre,
    OtherRegion,
};

/// \brief Bytes sent and received by one daemon on all of its links.
struct LinkTraffic
{
    /// Attempts, their bodies and their answers.
    std::uint64_t calls = 0;
    /// Hello frames, pings, load updates, and exchanges of member lists and control state.
    std::uint64_t control = 0;
    /// Bytes sent, indexed by LinkDestination.
    std::array<std::uint64_t, 4> sent {};

    /// \brief Counts a frame.
    /// \param bytes its length on the wire.
    void add(const LinkFrame &frame, std::size_t bytes);

    /// \brief Counts a frame that is sent.
    void addSent(LinkDestination destination, std::size_t bytes)
    {
        sent[std::size_t(destination)] += bytes;
    }
};

} // namespace Coltsfootwell::Internal
