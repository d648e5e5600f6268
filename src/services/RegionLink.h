// Part of the service "calls": counts what calls to other regions send and receive, and tells the
// other daemons of the region that the link is in use.
#pragma once

#include "decisions/Place.h"
#include "decisions/RegionBudget.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/MembershipMessages.h"

#include <memory>
#include <span>

namespace Coltsfootwell {

/// \brief This daemon's share of the link, in both directions.
class RegionLink final : public RegionGate, public std::enable_shared_from_this<RegionLink>
{
public:
    /// A daemon counts as a sender for this long after its last call to another region.
    static constexpr std::chrono::seconds SenderLifetime {5};

    RegionLink(Executor &executor, Place place);

    /// \param membership told when this daemon begins and ends to send.
    void tell(Address<MembershipMessage> membership) { m_membership = std::move(membership); }

    void configurationChanged(const Configuration &configuration);
    void membersChanged(std::span<const Member> members);

    bool allows(TimePoint now) override;

    /// \brief Counts a call; one within the own region is left out.
    void sending(const RunAttempt &run);

    /// \brief Counts an answer; one from the own region is left out.
    void receiving(const Target &target, const AttemptAnswered &answered);

    /// \brief Stops the timer.
    void stop();

private:
    bool crosses(const Target &target) const { return target.region != m_place.region; }
    void limitsChanged();
    void count(BodyPipe &pipe, RegionBudget RegionLink::*direction);
    void markActive();
    void checkActive();

    Executor &m_executor;
    Place m_place;
    Address<MembershipMessage> m_membership;
    RegionBudget m_out;
    RegionBudget m_in;
    std::uint64_t m_linkBytesPerSecond = 0;
    /// Other daemons of the region that send.
    unsigned m_otherSenders = 0;
    TimePoint m_lastSent {};
    bool m_active = false;
    TimerId m_timer = 0;
};

} // namespace Coltsfootwell
