// Byte counters of the connections between daemons. Calls and control traffic are counted
// separately, since the target deployment size implies a limit on the control traffic of each
// daemon.
#pragma once

#include "wire/LinkFrame.h"

#include <cstddef>
#include <cstdint>

namespace Coltsfootwell::Internal {

/// \brief Bytes sent and received by one daemon on all of its links.
struct LinkTraffic
{
    /// Attempts, their bodies and their answers.
    std::uint64_t calls = 0;
    /// Hello frames, pings, load updates, and exchanges of member lists and control state.
    std::uint64_t control = 0;

    /// \brief Counts a frame.
    /// \param bytes its length on the wire.
    void add(const LinkFrame &frame, std::size_t bytes);
};

} // namespace Coltsfootwell::Internal
