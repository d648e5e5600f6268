// The service "backend": the only one that gives work to the backend server beside this daemon.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Routing.h"
#include "kernel/Kernel.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \param kernel gives the executor and the directory.
/// \param context runs the connections.
/// \param place this daemon.
/// \param guards rules in force; outlives the service.
/// \return the service, not started.
std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context, Place place,
                                     const Guards &guards = FullGuards);

} // namespace Coltsfootwell
