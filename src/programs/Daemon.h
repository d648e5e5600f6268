// Assembles the services of one daemon.
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

/// \brief Callbacks of a daemon to the program that runs it.
struct DaemonCallbacks
{
    /// Called at the end of a planned stop.
    Task onStopped;
    /// Called when another process with the daemon's name has a higher or the same incarnation.
    std::function<void(const IncarnationConflict &)> onConflict;
};

/// \brief Protocols that a daemon uses with callers, backend servers, operators and the store.
struct DaemonInterface
{
    const HttpDialect *dialect = nullptr;
    const ControlFormat *format = nullptr;
    /// \return a client of the store at an address.
    std::shared_ptr<StoreClient> (*makeStore)(Kernel &, boost::asio::io_context &, const Endpoint &)
        = nullptr;
    /// Adds the services that receive heartbeats of backend servers to the kernel.
    void (*addRegistration)(Kernel &, const DaemonSettings &) = nullptr;
    /// True if the id of a backend server's process stays the same for another process of the
    /// daemon, so that its shutdown can be recorded in the store.
    bool lastingInstanceIds = false;
    /// True if the callers' port serves the control paths below "/coltsfootwell/".
    bool servesControl = true;
};

/// \param name value of DaemonSettings::interface.
/// \return the interface; null for an unknown name.
const DaemonInterface *findInterface(std::string_view name);

/// \brief Rules that tests disable to show that a check fails without them.
struct DaemonStrategies
{
    const Guards *guards = &FullGuards;
    /// Modifies each configuration before it becomes active; null for no modification.
    void (*configurationFilter)(Configuration &) = nullptr;
    /// False to end the process on a signal without a planned stop.
    bool plannedStop = true;
};

/// \brief Adds all services of a daemon to a kernel.
/// \param kernel kernel that is not started yet.
/// \param context runs the sockets of the services.
/// \param settings settings of the daemon.
/// \param minIncarnation minimum incarnation of the daemon.
/// \param callbacks callbacks to the program.
/// \param strategies rules that tests may replace; the guards must outlive the kernel.
void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, Incarnation minIncarnation,
                       DaemonCallbacks callbacks, const DaemonStrategies &strategies);

} // namespace Coltsfootwell
