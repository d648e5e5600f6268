// The service "membership": announces this daemon to others and learns of them.
#pragma once

#include "decisions/Member.h"
#include "kernel/Kernel.h"

#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service.
struct MembershipSettings
{
    /// This daemon as it announces itself; its endpoint is also the UDP address to listen on.
    Member self;
    /// Daemons to ask first.
    std::vector<Endpoint> seeds;
};

/// \param kernel gives the executor, randomness and the directory.
/// \param context runs the socket.
/// \param settings identity and seeds.
/// \return the service, not started.
std::unique_ptr<Service> makeMembership(Kernel &kernel, boost::asio::io_context &context,
                                        MembershipSettings settings);

} // namespace Coltsfootwell
