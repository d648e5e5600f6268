// Decides how many connections of callers a daemon holds, and which of them make room for others.
// Answers clients that open connections and leave them alone: without the limit they take all
// descriptors of the process, and then the daemon reaches neither its backend server nor other
// daemons.
#pragma once

#include "kernel/Time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace Coltsfootwell {

/// \brief State of a caller's connection.
struct ConnectionState
{
    /// Time since when nothing has arrived and nothing is to be answered; empty while a request is
    /// expected, read, at work or being answered.
    std::optional<TimePoint> idleSince;
    /// True if the connection closes anyway.
    bool closing = false;
};

/// \brief Limit on the number of open connections of callers.
class ConnectionLimit
{
public:
    /// \param maxConnections maximum number of open connections.
    explicit ConnectionLimit(std::size_t maxConnections) : m_maxConnections(maxConnections) { }

    /// \param descriptors maximum number of descriptors of the process.
    /// \return the maximum number of callers' connections. The other descriptors are for the
    /// backend server, other daemons and the store.
    static std::size_t callerShare(std::size_t descriptors);

    /// \param open number of open connections.
    /// \return true if another one may be accepted. One beyond the limit may, so that no connection
    /// is closed before another one has arrived.
    bool hasRoom(std::size_t open) const { return open <= m_maxConnections; }

    /// \param connections all open connections.
    /// \return indexes of the connections to close, so that those that remain are within the limit:
    /// the ones that have been idle longest, as far as there are idle ones.
    std::vector<std::size_t> connectionsToClose(std::span<const ConnectionState> connections) const;

private:
    std::size_t m_maxConnections;
};

} // namespace Coltsfootwell
