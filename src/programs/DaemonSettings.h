// Settings of the daemon, read from a JSON file.
#pragma once

#include "decisions/Member.h"
#include "decisions/RetryBudget.h"
#include "wire/JsonFault.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief One daemon's settings.
struct DaemonSettings
{
    std::string id;
    std::string region;
    std::string dataCentre;
    /// All data centres and their regions; only needed where the configuration does not name them.
    std::map<std::string, std::string, std::less<>> dataCentres;
    /// "own" or the name of an adapter.
    std::string interface = "own";
    /// Service of the backend server beside this daemon; empty when only the server says.
    std::string service;
    /// HTTP address for callers.
    Endpoint listen;
    /// TCP and UDP address for other daemons; the port after `listen` unless settings say
    /// otherwise.
    Endpoint peers;
    /// Where other daemons reach this one; the same as `peers` unless settings say otherwise.
    Endpoint advertise;
    /// HTTP addresses for health checks, heartbeats, and metrics; none when empty.
    std::optional<Endpoint> ready;
    std::optional<Endpoint> registration;
    std::optional<Endpoint> admin;
    std::vector<Endpoint> seeds;
    /// File with the configuration; empty when it comes from the store only.
    std::string configurationFile;
    /// Address of the store; nothing for a site without one.
    std::optional<Endpoint> store;
    /// Time after which a leaving backend server must get no more calls.
    std::chrono::milliseconds drain {3000};
    /// Time that a planned stop may take.
    std::chrono::milliseconds grace {30'000};
    /// Calls in a second that a cold backend server bears beyond the rate of its service.
    double coldSlack = 0;
    RetryLimits retries;
};

/// \brief Decodes settings.
/// \param text JSON text.
/// \param fault first violation when ec is set.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
DaemonSettings decodeSettings(std::string_view text, JsonFault &fault, std::error_code &ec);

} // namespace Coltsfootwell
