// The service "configuration": follows what operators publish in the store, and asks other daemons
// while the store is away.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Kernel.h"
#include "services/StoreClient.h"
#include "wire/ControlFormat.h"

#include <map>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief Settings of the service.
struct ConfigurationFollowerSettings
{
    /// Spelling of the records; outlives the service.
    const ControlFormat *format = nullptr;
    /// All data centres and their regions.
    std::map<std::string, std::string, std::less<>> dataCentres;
    /// File with a configuration to start from and to read again when asked; empty for none.
    std::string file;
    /// Changes what is put in force; null for no change. Tests switch rules off with it.
    void (*filter)(Configuration &) = nullptr;
    /// Name of this daemon.
    std::string self;
};

/// \param kernel gives the executor and the directory.
/// \param store where operators publish; null for a site without one.
/// \param settings see ConfigurationFollowerSettings.
/// \return the service, not started.
std::unique_ptr<Service> makeConfigurationFollower(Kernel &kernel,
                                                   std::shared_ptr<StoreClient> store,
                                                   ConfigurationFollowerSettings settings);

} // namespace Coltsfootwell
