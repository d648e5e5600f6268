// The service "daemon-records": daemons find each other through records in the store. Once a
// daemon knows some others, the membership protocol does the rest.
#pragma once

#include "kernel/Kernel.h"
#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "services/StoreClient.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel gives the executor, randomness and the directory.
/// \param store holds the records.
/// \param self this daemon.
/// \param endpoint where others reach it.
/// \return the service, not started.
std::unique_ptr<Service> makeDaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           DaemonId self, Endpoint endpoint);

} // namespace Coltsfootwell
