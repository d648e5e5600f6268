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
struct BackendStateChanged
{
    std::string service;
    BackendState state = BackendState::Absent;
    std::uint32_t slots = 0;
};

/// \brief This daemon has begun a planned stop.
struct AnnounceLeaving
{
};

/// \brief How much this daemon knows of the operators' state; it tells other daemons.
struct ConfigurationPositionChanged
{
    /// See ControlState.
    std::uint64_t position = 0;
};

/// \brief Whether the store answers this daemon.
struct StoreAccessChanged
{
    bool lost = false;
};

/// \brief Addresses of daemons that were learned elsewhere, such as from the log.
struct SeedsDiscovered
{
    std::vector<Endpoint> endpoints;
};

using MembershipMessage
    = std::variant<SubscribeMembers, BackendStateChanged, AnnounceLeaving,
                   ConfigurationPositionChanged, StoreAccessChanged, SeedsDiscovered>;

} // namespace Coltsfootwell
