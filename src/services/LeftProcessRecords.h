// The service "left-processes": keeps in the store which processes of the local backend server have
// announced their shutdown, so that a restarted daemon holds to what its predecessor acknowledged.
#pragma once

#include "kernel/Kernel.h"
#include "services/StoreClient.h"

#include <memory>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// Topic of the records. The key of a record is the name of its daemon.
constexpr std::string_view LeftProcessesTopic = "keyed.left";

/// \brief Creates the service "left-processes". It reads the record of the daemon once and sends it
/// to "registration", appends it again when the store has come back from an older copy, and removes
/// records of daemons that have not changed theirs for a long time.
/// \param kernel provides the executor and the service directory.
/// \param store client of the store that holds the records; no other object may use it.
/// \param daemonName name of this daemon.
/// \return the service, not yet started.
std::unique_ptr<Service> makeLeftProcessRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                                std::string daemonName);

} // namespace Coltsfootwell
