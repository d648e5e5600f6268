// Puts the services of one daemon together.
#pragma once

#include "decisions/Guards.h"
#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"
#include "services/Membership.h"
#include "services/StoreClient.h"
#include "wire/ControlFormat.h"
#include "wire/HttpDialect.h"

#include <functional>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief What a daemon tells the program that runs it.
struct DaemonCallbacks
{
    /// Called at the end of a planned stop.
    Task stopped;
    /// Called when another process with the daemon's name has a higher incarnation.
    std::function<void(const IncarnationConflict &)> conflict;
};

/// \brief How a daemon speaks with callers, backend servers and operators.
struct DaemonInterface
{
    const HttpDialect *dialect = nullptr;
    const ControlFormat *format = nullptr;
    /// \return access to the store at an address.
    std::shared_ptr<StoreClient> (*makeStore)(Kernel &, boost::asio::io_context &, const Endpoint &)
        = nullptr;
    /// Registers the services that take heartbeats of backend servers.
    void (*addRegistration)(Kernel &, const DaemonSettings &) = nullptr;
    /// True when callers may ask for paths below "/coltsfootwell/".
    bool servesControl = true;
};

/// \param name of the settings.
/// \return the interface; null for an unknown name.
const DaemonInterface *findInterface(std::string_view name);

/// \brief Rules that tests switch off to show that a check fails without them.
struct DaemonStrategies
{
    const Guards *guards = &FullGuards;
    /// Changes the configuration before it comes into force; null for no change.
    void (*configurationFilter)(Configuration &) = nullptr;
    /// False ends the process at a signal without a planned stop.
    bool plannedStop = true;
};

/// \brief Registers all services of a daemon.
/// \param kernel gets the services; not started yet.
/// \param context runs their sockets.
/// \param settings the daemon's settings.
/// \param minIncarnation lowest incarnation to take.
/// \param events see DaemonCallbacks.
/// \param strategies see DaemonStrategies.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, Incarnation minIncarnation,
                       DaemonCallbacks events, const DaemonStrategies &strategies);

} // namespace Coltsfootwell
