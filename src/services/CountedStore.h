// Counts the calls of the store by kind and result, for the metrics.
#pragma once

#include "kernel/Kernel.h"
#include "services/StoreClient.h"

#include <memory>

namespace Coltsfootwell {

/// \param kernel provides the service "telemetry"; must outlive the client.
/// \param store client whose calls are counted.
/// \return a client that passes all calls on to `store`, and counts those that end.
std::shared_ptr<StoreClient> makeCountedStore(Kernel &kernel, std::shared_ptr<StoreClient> store);

} // namespace Coltsfootwell
