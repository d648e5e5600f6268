// Messages of the service "configuration".
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"
#include "kernel/Mailbox.h"

#include <optional>
#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief To subscribers: a version came into force, its freshness changed, or its evidence was
/// renewed.
struct ConfigurationChanged
{
    ConfigurationPtr configuration;
    /// False when a newer version may exist that this daemon cannot learn of.
    bool fresh = true;
    /// Last instant at which the present evidence counts; a paused process may get the message that
    /// ends it too late. TimePoint::max() while the evidence cannot end.
    TimePoint freshUntil = TimePoint::max();

    /// \return true while no newer version can have been in force for longer than allowed.
    bool isFreshAt(TimePoint now) const { return fresh && now <= freshUntil; }
};

/// \brief Tells the address of all later changes, and of the version in force at once.
struct SubscribeConfiguration
{
    Address<ConfigurationChanged> subscriber;
};

/// \brief A peer has named a version; a newer one is fetched from it.
struct VersionSeen
{
    ConfigurationVersion version = 0;
    std::string address;
    std::uint16_t port = 0;
};

/// \brief From "membership": a peer has answered a ping.
struct PeerEvidence
{
    DaemonId peer;
    Endpoint endpoint;
    std::string region;
    ConfigurationVersion version = 0;
    /// Time of sending the ping less the age that the peer has reported; nothing when the peer has
    /// none.
    std::optional<TimePoint> fresh;
    bool logReachable = false;
    /// Time of sending the ping; the contact does not count as recent without it.
    TimePoint asked {};
};

/// \brief From "membership": a periodic ping to a random member has ended.
struct PingEvidence
{
    /// Time of sending the ping.
    TimePoint asked {};
    bool answered = false;
};

using ConfigurationMessage
    = std::variant<SubscribeConfiguration, VersionSeen, PeerEvidence, PingEvidence>;

} // namespace Coltsfootwell
