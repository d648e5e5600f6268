// The service "configuration": keeps the version in force and its freshness, and tells the other
// services of both.
#pragma once

#include "decisions/ConfigurationFold.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"
#include "services/ConfigurationMessages.h"
#include "services/LogClient.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Changes what subscribers are told; only tests have one.
using ConfigurationFilter = void (*)(ConfigurationChanged &);

/// \brief Settings of the service.
struct ConfigurationSettings
{
    DaemonId self;
    std::string region;
    std::string dataCentre;
    /// Where this daemon can be reached.
    Endpoint endpoint;
    /// State before the first record of the log, or null.
    ConfigurationPtr initial;
    LogRetention retention;
    /// Null tells subscribers what is in force.
    ConfigurationFilter filter = nullptr;
};

/// \param kernel gives the executor and the directory.
/// \param context runs connections to peers.
/// \param settings this daemon and its start.
/// \param log client of the log; null for a daemon without one, whose version is always fresh.
/// \return the service, not started.
std::unique_ptr<Service> makeConfigurationService(Kernel &kernel, boost::asio::io_context &context,
                                                  ConfigurationSettings settings,
                                                  std::unique_ptr<LogClient> log);

} // namespace Coltsfootwell
