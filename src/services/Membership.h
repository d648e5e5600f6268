// The service "membership": announces this daemon to others and learns of them.
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

/// \brief Settings of the service.
struct MembershipSettings
{
    /// UDP address to listen on.
    Endpoint listen;
    /// This daemon as it announces itself.
    Member self;
    /// Daemons to ask first.
    std::vector<Endpoint> seeds;
    /// Called when another process has this daemon's name and a higher incarnation. The process
    /// stops when it was replaced; while joining it starts again with a higher incarnation.
    std::function<void(const IncarnationConflict &)> onConflict;
};

/// \param kernel gives the executor, randomness and the directory.
/// \param context runs the socket.
/// \param settings identity and seeds.
/// \return the service, not started.
std::unique_ptr<Service> makeMembership(Kernel &kernel, boost::asio::io_context &context,
                                        MembershipSettings settings);

} // namespace Coltsfootwell
