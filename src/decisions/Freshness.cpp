#include "decisions/Freshness.h"

#include "decisions/Membership.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Share of the periodic pings of the freshness time that must have ended. With fewer, this process
/// was paused or has just started, and its few contacts may all have been paused with it.
constexpr int MinPingShare = 2;

} // namespace

Freshness::Freshness(std::string self, std::string region)
    : m_self(std::move(self)), m_region(std::move(region)), m_listed {m_self}
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
        m_lost.clear();
    }
}

void Freshness::logFailed(TimePoint asked)
{
    m_lastFailure = asked;
}

void Freshness::peerAnswered(const PeerContact &contact)
{
    PeerContact &known = m_peers[contact.name];
    // An answer that was overtaken must not replace a later one.
    if (known.name.empty() || contact.asked >= known.asked) {
        known = contact;
    }
    if (contact.version == m_version && contact.fresh && isRecent(*contact.fresh, contact.asked)) {
        m_lost.clear();
    }
}

void Freshness::pingEnded(TimePoint asked, bool answered)
{
    m_pings.emplace(asked, answered);
    m_pings.erase(m_pings.begin(), m_pings.lower_bound(asked - 2 * m_limit));
}

void Freshness::membersChanged(std::span<const Member> members)
{
    m_lost.merge(m_listed);
    m_listed = {m_self};
    m_live = 1;
    for (const Member &member : members) {
        m_lost.erase(member.id.name);
        if (member.state == MemberState::Left || member.id.name == m_self) {
            continue;
        }
        m_listed.insert(member.id.name);
        m_live += member.state == MemberState::Alive ? 1 : 0;
    }
    m_lost.erase(m_self);
    std::erase_if(m_peers, [this](const auto &entry) { return !m_listed.contains(entry.first); });
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
    return logDownUntil(now) ? FreshnessVerdict::LogDown : FreshnessVerdict::Stale;
}

std::optional<TimePoint> Freshness::freshUntil(TimePoint now) const
{
    std::optional<TimePoint> until = logDownUntil(now);
    if (const auto fresh = freshAt(); fresh && isRecent(*fresh, now)) {
        until = std::max(until.value_or(*fresh + m_limit), *fresh + m_limit);
    }
    return until;
}

std::optional<TimePoint> Freshness::nextChange(TimePoint now) const
{
    if (const auto until = freshUntil(now)) {
        // Evidence still counts at the limit itself.
        return *until + Duration(1);
    }
    std::optional<TimePoint> next;
    const auto consider = [&](std::optional<TimePoint> time, Duration lasts) {
        if (time && now - *time <= lasts) {
            const TimePoint end = *time + lasts + Duration(1);
            next = std::min(next.value_or(end), end);
        }
    };
    consider(m_lastRead, LogContactTime);
    consider(m_lastFailure, m_limit);
    for (const auto &[name, peer] : m_peers) {
        consider(peer.asked, m_limit);
        consider(peer.fresh, m_limit);
    }
    if (const auto it = m_pings.lower_bound(now - m_limit); it != m_pings.end()) {
        consider(it->first, m_limit);
    }
    return next;
}

std::optional<TimePoint> Freshness::logDownUntil(TimePoint now) const
{
    if (m_version == 0 || !hasMajority()) {
        return std::nullopt;
    }
    const auto answered = pingsAnsweredUntil(now);
    const auto witnessed = answered ? witnessedUntil(now) : std::nullopt;
    return witnessed ? std::optional(std::min(*answered, *witnessed)) : std::nullopt;
}

/// \return the time until which a daemon in the log's region is known not to reach the log.
std::optional<TimePoint> Freshness::witnessedUntil(TimePoint now) const
{
    std::optional<TimePoint> last;
    if (m_region == m_logRegion && m_lastFailure && isRecent(*m_lastFailure, now)
        && !logReachable(now)) {
        last = m_lastFailure;
    }
    for (const auto &[name, peer] : m_peers) {
        if (!isRecent(peer.asked, now)) {
            continue;
        }
        if (peer.version > m_version) {
            return std::nullopt;
        }
        // A peer that does not read the log itself may still have evidence from one that does.
        const bool cutOff = !peer.logReachable && !(peer.fresh && isRecent(*peer.fresh, now));
        if (cutOff && peer.region == m_logRegion) {
            last = std::max(last.value_or(peer.asked), peer.asked);
        }
    }
    return last ? std::optional(*last + m_limit) : std::nullopt;
}

/// \return the time until which more than half of the random pings were answered, if no other
/// ping ends.
std::optional<TimePoint> Freshness::pingsAnsweredUntil(TimePoint now) const
{
    if (isAlone()) {
        return TimePoint::max();
    }
    auto oldest = m_pings.lower_bound(now - m_limit);
    auto ended = std::distance(oldest, m_pings.end());
    auto answered
        = std::count_if(oldest, m_pings.end(), [](const auto &ping) { return ping.second; });
    const auto needed
        = std::max<std::ptrdiff_t>(1, m_limit / Membership::PingPeriod / MinPingShare);
    std::optional<TimePoint> until;
    // Pings leave the freshness time one after the other.
    for (; ended >= needed && answered * 2 > ended; ++oldest) {
        until = oldest->first + m_limit;
        --ended;
        answered -= oldest->second ? 1 : 0;
    }
    return until;
}

} // namespace Coltsfootwell
