#include "decisions/ConnectionLimit.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Part of the descriptors that is not for the connections of callers: one in this many.
constexpr std::size_t OwnShareDivisor = 4;

} // namespace

std::size_t ConnectionLimit::callerShare(std::size_t descriptors)
{
    return descriptors - descriptors / OwnShareDivisor;
}

std::vector<std::size_t> ConnectionLimit::connectionsToClose(
    std::span<const ConnectionState> connections) const
{
    std::size_t remaining = 0;
    std::vector<std::size_t> idle;
    for (std::size_t n = 0; n < connections.size(); ++n) {
        if (connections[n].closing) {
            continue;
        }
        ++remaining;
        if (connections[n].idleSince) {
            idle.push_back(n);
        }
    }
    const std::size_t excess = remaining - std::min(remaining, m_maxConnections);
    const std::size_t closed = std::min(excess, idle.size());
    std::ranges::partial_sort(idle, idle.begin() + std::ptrdiff_t(closed), {},
                              [connections](std::size_t n) { return *connections[n].idleSince; });
    idle.resize(closed);
    return idle;
}

} // namespace Coltsfootwell
