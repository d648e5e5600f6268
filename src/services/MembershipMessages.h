// Messages of the service "membership".
#pragma once

#include "decisions/ControlStateSummary.h"
#include "decisions/Member.h"
#include "kernel/Mailbox.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief To subscribers: the member list has changed.
struct MembersChanged
{
    std::shared_ptr<const std::vector<Member>> members;
};

/// \brief Subscribes an address to all later changes. The current member list is sent to it
/// immediately.
struct SubscribeMembers
{
    Address<MembersChanged> subscriber;
};

/// \brief The state of this daemon's backend server has changed; it is announced to the members.
struct BackendStateChanged
{
    /// Service that the backend server runs.
    std::string service;
    BackendState state = BackendState::Absent;
    /// Maximum number of concurrent runs of the backend server.
    std::uint32_t slots = 0;
};

/// \brief Announces to the members that this daemon has started a planned stop.
struct AnnounceLeaving
{
};

/// \brief The control state of this daemon has changed; its summary is reported to other daemons.
struct ControlStateChanged
{
    ControlStateSummary state;
};

/// \brief This daemon has lost or regained access to the store.
struct StoreAccessChanged
{
    bool lost = false;
};

/// \brief Addresses of daemons that were discovered outside the membership protocol, such as in the
/// store. They replace those of earlier messages.
struct SeedsDiscovered
{
    /// Those that are most likely to be alive come first.
    std::vector<Endpoint> endpoints;
};

using MembershipMessage = std::variant<SubscribeMembers, BackendStateChanged, AnnounceLeaving,
                                       ControlStateChanged, StoreAccessChanged, SeedsDiscovered>;

} // namespace Coltsfootwell
