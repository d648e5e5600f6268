// Simulates the network of one host: its link, its region, and what is disconnected.
#pragma once

#include "BandwidthLimitedLink.h"
#include "decisions/Member.h"

#include <chrono>
#include <string>

namespace Coltsfootwell::Testing {

using std::chrono::milliseconds;

/// One-way latency within a region.
constexpr milliseconds NearLatency {1};
/// One-way latency between the regions.
constexpr milliseconds FarLatency {30};
/// Bandwidth of the link of a host: 10 Mbit/s.
constexpr double HostBytesPerSecond = 1.25e6;

/// \brief One host. The store is in the region "near".
struct SimulatedHost
{
    std::string name;
    Endpoint endpoint;
    std::string region;
    std::string dataCentre;
    bool isFar = false;
    /// All traffic from and to the store is dropped; connections stay open.
    bool isCutFromStore = false;
    /// All traffic from and to other daemons is dropped.
    bool isCutFromPeers = false;
    /// The store rejects all calls of this host.
    bool isRejected = false;
    BandwidthLimitedLink link {HostBytesPerSecond};

    /// \return one-way latency between this host and the store.
    Duration storeLatency() const { return isFar ? FarLatency : NearLatency; }
    /// \return one-way latency between two hosts.
    Duration latencyTo(const SimulatedHost &other) const
    {
        return isFar == other.isFar ? NearLatency : FarLatency;
    }
};

} // namespace Coltsfootwell::Testing
