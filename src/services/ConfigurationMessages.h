// Messages of the service "configuration".
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "kernel/Mailbox.h"

#include <optional>
#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief To subscribers: a version came into force, or a data centre left or returned.
struct ConfigurationChanged
{
    /// Null before the first version.
    ConfigurationPtr configuration;
};

/// \brief Tells the address of all later changes, and of the version in force at once.
struct SubscribeConfiguration
{
    Address<ConfigurationChanged> subscriber;
};

/// \brief From "membership": a daemon has told how much it knows.
struct PeerPositionReported
{
    DaemonId peer;
    Endpoint endpoint;
    /// Position of the state that the peer knows; see ControlState.
    std::uint64_t position = 0;
};

/// \brief From the program: read the configuration file again.
struct ReloadConfiguration
{
};

using ConfigurationMessage
    = std::variant<SubscribeConfiguration, PeerPositionReported, ReloadConfiguration>;

} // namespace Coltsfootwell
