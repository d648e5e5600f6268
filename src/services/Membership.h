// The service "membership": runs the membership protocol over UDP and publishes the member list.
#pragma once

#include "decisions/Membership.h"
#include "kernel/Kernel.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service "membership".
struct MembershipSettings
{
    /// UDP address to listen on.
    Endpoint listen;
    /// Record of this daemon that is announced to the others.
    Member self;
    /// Addresses of daemons to contact first.
    std::vector<Endpoint> seeds;
    /// Called when another process uses this daemon's name with a higher incarnation. A process
    /// that was replaced has to stop; one that is still joining restarts with a higher incarnation.
    std::function<void(const IncarnationConflict &)> onConflict;
};

/// \brief Creates the service "membership".
/// \param kernel provides the executor, the random generator and the service directory.
/// \param context runs the socket.
/// \param settings see MembershipSettings.
/// \return the service, not yet started.
std::unique_ptr<Service> makeMembership(Kernel &kernel, boost::asio::io_context &context,
                                        MembershipSettings settings);

} // namespace Coltsfootwell
