// The service "daemon-records": daemons find each other through records in the store. Once a
// daemon knows some others, the membership protocol does the rest.
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

/// Topic of the records; the key is the name of a daemon.
constexpr std::string_view DaemonRecordsTopic = "keyed.daemons";

/// \brief Addresses of one daemon.
struct DaemonAddresses
{
    /// For other daemons.
    Endpoint peers;
    /// For callers.
    Endpoint callers;
};

/// \param addresses of a daemon.
/// \return the value of its record.
std::string encodeAddresses(const DaemonAddresses &addresses);

/// \param text value of a record.
/// \return the addresses, or nothing when it is malformed.
std::optional<DaemonAddresses> decodeAddresses(std::string_view text);

/// \param kernel gives the executor, randomness and the directory.
/// \param store holds the records.
/// \param self this daemon.
/// \param addresses where others reach it.
/// \return the service, not started.
std::unique_ptr<Service> makeDaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           DaemonId self, DaemonAddresses addresses);

} // namespace Coltsfootwell
