#include "decisions/Freshness.h"

#include <algorithm>
#include <set>

namespace Coltsfootwell {

Freshness::Freshness(std::string self, std::string region)
    : m_self(std::move(self)), m_region(std::move(region))
{
}

void Freshness::inForce(const Configuration &configuration)
{
    if (configuration.version != m_version) {
        m_ownFresh.reset();
    }
    m_version = configuration.version;
    m_logRegion = configuration.logRegion;
    m_limit = configuration.limits.freshness;
}

void Freshness::logRead(TimePoint asked, bool complete)
{
    m_lastRead = asked;
    m_lastFailure.reset();
    if (complete) {
        m_ownFresh = std::max(m_ownFresh.value_or(asked), asked);
    }
}

void Freshness::logFailed(TimePoint now)
{
    m_lastFailure = now;
}

void Freshness::peerAnswered(const PeerContact &contact)
{
    PeerContact &known = m_peers[contact.name];
    // An answer that was overtaken must not replace a later one.
    if (known.name.empty() || contact.asked >= known.asked) {
        known = contact;
    }
}

void Freshness::membersChanged(std::span<const Member> members)
{
    std::set<std::string_view> names {m_self};
    for (const Member &member : members) {
        if (member.state != MemberState::Left) {
            names.insert(member.id.name);
        }
    }
    std::erase_if(m_peers, [&names](const auto &entry) { return !names.contains(entry.first); });
    m_known = names.size();
}

std::optional<TimePoint> Freshness::freshAt() const
{
    std::optional<TimePoint> best = m_ownFresh;
    for (const auto &[name, peer] : m_peers) {
        if (peer.version == m_version && peer.fresh && (!best || *peer.fresh > *best)) {
            best = peer.fresh;
        }
    }
    return best;
}

bool Freshness::logReachable(TimePoint now) const
{
    return m_lastRead && now - *m_lastRead <= LogContactTime;
}

FreshnessVerdict Freshness::verdict(TimePoint now) const
{
    if (const auto fresh = freshAt(); fresh && isRecent(*fresh, now)) {
        return FreshnessVerdict::Fresh;
    }
    return m_version > 0 && knownLogDown(now) ? FreshnessVerdict::LogDown : FreshnessVerdict::Stale;
}

std::optional<TimePoint> Freshness::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](std::optional<TimePoint> time) {
        // Evidence still counts at the limit itself.
        if (time && isRecent(*time, now)) {
            const TimePoint end = *time + m_limit + Duration(1);
            next = std::min(next.value_or(end), end);
        }
    };
    if (const auto fresh = freshAt(); fresh && isRecent(*fresh, now)) {
        consider(fresh);
        return next;
    }
    if (m_lastRead && logReachable(now)) {
        const TimePoint end = *m_lastRead + LogContactTime + Duration(1);
        next = std::min(next.value_or(end), end);
    }
    consider(m_lastFailure);
    for (const auto &[name, peer] : m_peers) {
        consider(peer.asked);
        consider(peer.fresh);
    }
    return next;
}

bool Freshness::knownLogDown(TimePoint now) const
{
    std::size_t contacts = 1;
    bool witness = m_region == m_logRegion && m_lastFailure && isRecent(*m_lastFailure, now)
        && !logReachable(now);
    for (const auto &[name, peer] : m_peers) {
        if (!isRecent(peer.asked, now)) {
            continue;
        }
        if (peer.version > m_version) {
            return false;
        }
        ++contacts;
        // A peer that does not read the log itself may still have evidence from one that does.
        const bool cutOff = !peer.logReachable && !(peer.fresh && isRecent(*peer.fresh, now));
        witness = witness || (cutOff && peer.region == m_logRegion);
    }
    return witness && contacts * 2 > m_known;
}

} // namespace Coltsfootwell
