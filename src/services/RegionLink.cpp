#include "services/RegionLink.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

std::uint64_t headerBytes(std::span<const HeaderField> fields)
{
    constexpr std::uint64_t Separators = 4;
    std::uint64_t bytes = 0;
    for (const HeaderField &field : fields) {
        bytes += field.name.size() + field.value.size() + Separators;
    }
    return bytes;
}

} // namespace

RegionLink::RegionLink(Executor &executor, Place place)
    : m_executor(executor), m_place(std::move(place))
{
}

void RegionLink::configurationChanged(const Configuration &configuration)
{
    m_linkBytesPerSecond = configuration.limits.regionLinkBytesPerSecond;
    limitsChanged();
}

void RegionLink::membersChanged(std::span<const Member> members)
{
    m_otherSenders
        = static_cast<unsigned>(std::ranges::count_if(members, [this](const Member &member) {
              return member.region == m_place.region && member.id.name != m_place.self.name
                  && member.crossRegion && member.state == MemberState::Alive;
          }));
    limitsChanged();
}

bool RegionLink::allows(TimePoint now)
{
    return m_out.allows(now) && m_in.allows(now);
}

void RegionLink::sending(const RunAttempt &run)
{
    if (!crosses(run.target)) {
        return;
    }
    markActive();
    m_out.spend(headerBytes(run.head->headers) + run.head->target.size()
                    + (run.body.bytes ? run.body.bytes->size() : 0),
                m_executor.now());
    if (run.body.stream) {
        count(*run.body.stream, &RegionLink::m_out);
    }
}

void RegionLink::receiving(const Target &target, const AttemptAnswered &answered)
{
    if (!crosses(target)) {
        return;
    }
    m_in.spend(headerBytes(answered.head.headers), m_executor.now());
    count(*answered.body, &RegionLink::m_in);
}

void RegionLink::stop()
{
    m_executor.cancel(m_timer);
}

void RegionLink::limitsChanged()
{
    const TimePoint now = m_executor.now();
    m_out.limitsChanged(m_linkBytesPerSecond, m_otherSenders + 1, now);
    m_in.limitsChanged(m_linkBytesPerSecond, m_otherSenders + 1, now);
}

void RegionLink::count(BodyPipe &pipe, RegionBudget RegionLink::*direction)
{
    pipe.countBytes([weak = weak_from_this(), direction](std::size_t bytes) {
        if (const auto self = weak.lock()) {
            (self.get()->*direction).spend(bytes, self->m_executor.now());
        }
    });
}

void RegionLink::markActive()
{
    m_lastSent = m_executor.now();
    if (!m_active) {
        m_active = true;
        m_membership.send(CrossRegionActive {true});
        checkActive();
    }
}

void RegionLink::checkActive()
{
    const Duration left = m_lastSent + SenderLifetime - m_executor.now();
    if (left <= Duration()) {
        m_active = false;
        m_membership.send(CrossRegionActive {false});
        return;
    }
    m_timer = m_executor.after(left, [this] { checkActive(); });
}

} // namespace Coltsfootwell
