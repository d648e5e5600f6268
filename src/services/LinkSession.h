// The current connection to a peer. Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/Ids.h"
#include "services/LinkConnection.h"

#include <memory>

namespace Coltsfootwell::Internal {

/// \brief The connection to a peer, and what the peer has said of itself over it. LinkPeer owns and
/// changes it.
struct LinkSession
{
    /// Null while there is no connection.
    std::shared_ptr<LinkConnection> connection;
    /// Name and incarnation from the HelloFrame of the last connection; empty before it.
    DaemonId daemon;
};

} // namespace Coltsfootwell::Internal
