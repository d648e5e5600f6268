// The service "configuration": follows the configuration that operators publish in the store, and
// fetches it from other daemons while the store is unavailable or when they are ahead.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Kernel.h"
#include "services/StoreClient.h"
#include "wire/ControlFormat.h"

#include <map>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief Settings of the service "configuration".
struct ConfigurationFollowerSettings
{
    /// Decodes the operators' records; must outlive the service.
    const ControlFormat *format = nullptr;
    /// Region of each data centre.
    std::map<std::string, std::string, std::less<>> dataCentres;
    /// Configuration file that is loaded at the start and at ReloadConfiguration; empty for none.
    std::string file;
    /// Modifies each configuration before its activation; null for none. Tests disable rules with
    /// it.
    void (*filter)(Configuration &) = nullptr;
    /// Name of this daemon.
    std::string self;
};

/// \brief Creates the service "configuration".
/// \param kernel provides the executor, the random generator and the service directory.
/// \param store client of the store that operators publish to; null without a store.
/// \param settings see ConfigurationFollowerSettings.
/// \return the service, not yet started.
std::unique_ptr<Service> makeConfigurationFollower(Kernel &kernel,
                                                   std::shared_ptr<StoreClient> store,
                                                   ConfigurationFollowerSettings settings);

} // namespace Coltsfootwell
