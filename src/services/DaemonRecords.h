// The service "daemon-records": peer discovery through records in the store. Each daemon publishes
// its addresses there. Once a daemon has found some others, the membership protocol finds the rest.
#pragma once

#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"
#include "services/StoreClient.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// Topic of the records. The key of a record is the name of its daemon.
constexpr std::string_view DaemonRecordsTopic = "keyed.daemons";

/// \brief Addresses under which a daemon is reachable.
struct DaemonAddresses
{
    /// Address for other daemons.
    Endpoint peers;
    /// Address for callers.
    Endpoint callers;
};

/// \param addresses addresses of a daemon.
/// \return the value of its record: both addresses, separated by a space.
std::string encodeAddresses(const DaemonAddresses &addresses);

/// \param text value of a record.
/// \return the addresses, or std::nullopt if the value is malformed.
std::optional<DaemonAddresses> decodeAddresses(std::string_view text);

/// \brief Creates the service "daemon-records".
/// \param kernel provides the executor, the random generator and the service directory.
/// \param store client of the store that holds the records; no other object may use it.
/// \param self id of this daemon.
/// \param addresses addresses under which others reach this daemon.
/// \return the service, not yet started.
std::unique_ptr<Service> makeDaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           DaemonId self, DaemonAddresses addresses);

} // namespace Coltsfootwell
