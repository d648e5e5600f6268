// Messages of the service "configuration".
#pragma once

#include "decisions/ControlStateSummary.h"
#include "decisions/Ids.h"
#include "decisions/Member.h"
#include "decisions/StorePosition.h"
#include "kernel/Mailbox.h"

#include <optional>
#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief To subscribers: a configuration version was activated, or a data centre was taken out of
/// service or brought back.
struct ConfigurationChanged
{
    /// The active configuration; null before the first version.
    ConfigurationPtr configuration;
};

/// \brief Subscribes an address to all later changes. The active configuration is sent to it
/// immediately.
struct SubscribeConfiguration
{
    Address<ConfigurationChanged> subscriber;
};

/// \brief To subscribers: the store is known to be in this epoch. What it acknowledged in an
/// earlier one may be lost.
struct StoreEpochChanged
{
    StoreEpoch epoch = 0;
};

/// \brief Subscribes an address to the epoch of the store. It is sent immediately if it is known,
/// and each time it rises.
struct SubscribeStoreEpoch
{
    Address<StoreEpochChanged> subscriber;
};

/// \brief From "membership": another daemon has reported its control state.
struct PeerStateReported
{
    DaemonId peer;
    Endpoint endpoint;
    ControlStateSummary state;
};

/// \brief From the program: reloads the configuration file.
struct ReloadConfiguration
{
};

using ConfigurationMessage = std::variant<SubscribeConfiguration, SubscribeStoreEpoch,
                                          PeerStateReported, ReloadConfiguration>;

} // namespace Coltsfootwell
