// The service "peers": sends attempts and revocations to other daemons over pooled connections.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Kernel.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param context runs the connections.
/// \return the service, not started.
std::unique_ptr<Service> makePeers(Kernel &kernel, boost::asio::io_context &context);

} // namespace Coltsfootwell
