// Messages of the service "membership".
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"
#include "kernel/Mailbox.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief To subscribers: the list of known daemons has changed.
struct MembersChanged
{
    std::shared_ptr<const std::vector<Member>> members;
};

/// \brief Tells the address of all later changes, and of the present list at once.
struct SubscribeMembers
{
    Address<MembersChanged> subscriber;
};

/// \brief The state of this daemon's backend server has changed.
struct BackendChanged
{
    std::string service;
    BackendState state = BackendState::Absent;
    std::uint32_t slots = 0;
};

/// \brief This daemon has begun a planned stop.
struct AnnounceLeaving
{
};

/// \brief What this daemon knows of the newest configuration; goes into its answers to pings.
struct LogEvidence
{
    /// Version in force here.
    ConfigurationVersion version = 0;
    /// Last time at which this version was known to be the newest.
    std::optional<TimePoint> fresh;
    /// True when this daemon has reached the log itself within the freshness time.
    bool logReachable = false;
    /// Region of the log; empty while unknown.
    std::string logRegion;
};

/// \brief Addresses of daemons that were learned elsewhere, such as from the log.
struct SeedsLearned
{
    std::vector<Endpoint> endpoints;
};

/// \brief This daemon sends calls to other regions at present; others share the link with it.
struct CrossRegionActive
{
    bool active = false;
};

using MembershipMessage = std::variant<SubscribeMembers, BackendChanged, AnnounceLeaving,
                                       LogEvidence, SeedsLearned, CrossRegionActive>;

} // namespace Coltsfootwell
