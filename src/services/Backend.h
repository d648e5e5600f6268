// The service "backend": the only one that gives work to the backend server beside this daemon.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Locality.h"
#include "kernel/Kernel.h"
#include "wire/HttpDialect.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service.
struct BackendSettings
{
    Locality place;
    /// Spelling of requests to the backend server; outlives the service.
    const HttpDialect *dialect = nullptr;
    /// Time for which a server that has announced its end still gets calls that have no other
    /// place.
    std::chrono::milliseconds drainTime {1500};
    /// Calls in a second that a cold server bears beyond the rate of its service.
    double coldSlack = 0;
    const Guards *guards = &FullGuards;
};

/// \param kernel gives the executor and the directory.
/// \param context runs the connections.
/// \param settings see BackendSettings.
/// \return the service, not started.
std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context,
                                     BackendSettings settings);

} // namespace Coltsfootwell
