// Bodies that are sent over one link in parts, in turns, so that other frames do not wait behind a
// long body. Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/CallMessages.h"
#include "services/LinkConnection.h"

#include <deque>

namespace Coltsfootwell::Internal {

/// \brief The bodies that are being sent over the current connection of a link.
class OutgoingBodies
{
public:
    /// \brief Starts to send a body, from its beginning if it is being sent already: the peer asks
    /// for it again after it has lost a part.
    void start(const AttemptId &attempt, BodyPtr body);

    /// \brief Stops sending a body that is not needed any more.
    void remove(const AttemptId &attempt);

    /// \brief Stops sending all bodies.
    void clear() { m_bodies.clear(); }

    /// \brief Hands parts to the connection until enough bytes wait in it; call it after start()
    /// and when the connection has written everything.
    void sendParts(LinkConnection &connection);

private:
    struct OutgoingBody
    {
        AttemptId attempt;
        BodyPtr body;
        /// Number of bytes that have been handed to the connection.
        std::size_t sent = 0;
    };

    std::deque<OutgoingBody> m_bodies;
};

} // namespace Coltsfootwell::Internal
