// Bytes on the connections between daemons, told apart by what they are for: the target size bounds
// what a daemon may send for control.
#pragma once

#include "wire/LinkFrame.h"

#include <cstddef>
#include <cstdint>

namespace Coltsfootwell::Internal {

/// \brief Bytes sent and received by one daemon.
struct LinkTraffic
{
    /// Attempts, their bodies and their answers.
    std::uint64_t calls = 0;
    /// Pings, news of load, exchanges of member lists and of the operators' state.
    std::uint64_t control = 0;

    /// \brief Adds a frame.
    /// \param bytes its length on the wire.
    void add(const LinkFrame &frame, std::size_t bytes);
};

} // namespace Coltsfootwell::Internal
