// Settings of a daemon, read from a JSON file.
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

/// \brief Settings of one daemon.
struct DaemonSettings
{
    std::string id;
    std::string region;
    std::string dataCentre;
    /// Region of each data centre; needed only if the configuration does not list them.
    std::map<std::string, std::string, std::less<>> dataCentres;
    /// Name of a DaemonInterface: "own" or the name of an adapter.
    std::string interface = "own";
    /// Service of the backend server beside this daemon; empty to use the one that it announces.
    std::string service;
    /// HTTP address for callers.
    Endpoint listen;
    /// TCP and UDP address for other daemons; by default the address of `listen` with the next
    /// port.
    Endpoint peers;
    /// Address at which other daemons reach this one; by default `peers`.
    Endpoint advertise;
    /// HTTP address for readiness checks; std::nullopt for no listener.
    std::optional<Endpoint> ready;
    /// HTTP address for heartbeats of the backend server; std::nullopt for no listener.
    std::optional<Endpoint> registration;
    /// HTTP address for metrics and administration; std::nullopt for no listener.
    std::optional<Endpoint> admin;
    /// Addresses of daemons through which this one joins the membership.
    std::vector<Endpoint> seeds;
    /// Path of a file with the configuration; empty to use only the store.
    std::string configurationFile;
    /// Address of the store; std::nullopt without a store.
    std::optional<Endpoint> store;
    /// Maximum duration of a planned stop, after which the process may be killed; the member
    /// "graceSeconds" in JSON.
    std::chrono::milliseconds maxStopDuration {30'000};
    /// Calls per second that a cold backend server tolerates above the cold-start rate of its
    /// service.
    double coldSlack = 0;
    /// Memory of the process, from which the limits of bodies under way are derived.
    double memoryMegabytes = 256;
    /// Limits of the retry budget that all daemons share.
    RetryLimits retries;
};

/// \brief Decodes and validates settings.
/// \param text JSON text.
/// \param fault set to the first violation if ec is set.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
/// \return the settings; incomplete if ec is set.
DaemonSettings decodeSettings(std::string_view text, JsonFault &fault, std::error_code &ec);

} // namespace Coltsfootwell
