// Decides whether the version in force can be trusted to be the newest.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"
#include "kernel/Time.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace Coltsfootwell {

/// \brief What a daemon may conclude about its version.
enum class FreshnessVerdict {
    /// There is recent evidence that it is the newest.
    Fresh,
    /// The log is known to be down, so nobody publishes and the version stays the newest.
    LogDown,
    /// A newer version may exist.
    Stale,
};

/// \brief What a peer has said in answer to a question.
struct PeerContact
{
    std::string name;
    std::string region;
    /// When the question was sent.
    TimePoint asked;
    ConfigurationVersion version = 0;
    /// Time of the question less the age that the peer has reported.
    std::optional<TimePoint> fresh;
    bool logReachable = false;
};

/// Time without a successful read after which a daemon says that it cannot reach the log. It is
/// shorter than the limit of freshness, so that peers know of an outage before their evidence ends
/// and need not refuse work meanwhile.
constexpr std::chrono::milliseconds LogContactTime {1000};

/// \brief Keeps the evidence of one daemon.
class Freshness
{
public:
    /// \param self name of this daemon.
    /// \param region its region.
    Freshness(std::string self, std::string region);

    /// \brief A version came into force; evidence for other versions no longer counts.
    void inForce(const Configuration &configuration);

    /// \brief An own read of the log has returned everything.
    /// \param asked when the read was sent.
    /// \param complete true when the fold after it is exact, so that its version was the newest.
    void logRead(TimePoint asked, bool complete);

    /// \brief An own read of the log has failed.
    /// \param asked when the read was sent; a read that lasted through a pause says nothing.
    void logFailed(TimePoint asked);

    /// \brief A peer has answered.
    void peerAnswered(const PeerContact &contact);

    /// \brief A periodic ping to a random member has ended.
    /// \param asked when it was sent.
    void pingEnded(TimePoint asked, bool answered);

    /// \brief The known daemons, this one included; those that have left do not count.
    ///
    /// Others that are no longer listed count as lost until there is evidence from the log.
    void membersChanged(std::span<const Member> members);

    /// \return last time at which the version was known to be the newest.
    std::optional<TimePoint> freshAt() const;

    /// \return true when an own read has succeeded within LogContactTime.
    bool logReachable(TimePoint now) const;

    FreshnessVerdict verdict(TimePoint now) const;

    /// \return last instant at which the present evidence counts; nothing when stale.
    std::optional<TimePoint> freshUntil(TimePoint now) const;

    /// \return the next time at which the verdict may change by itself, if any.
    std::optional<TimePoint> nextChange(TimePoint now) const;

    /// \return region of the log; empty before the first version.
    const std::string &logRegion() const { return m_logRegion; }

    /// \return longest age of evidence.
    Duration limit() const { return m_limit; }

private:
    std::optional<TimePoint> logDownUntil(TimePoint now) const;
    std::optional<TimePoint> witnessedUntil(TimePoint now) const;
    std::optional<TimePoint> pingsAnsweredUntil(TimePoint now) const;
    bool hasMajority() const { return m_live * 2 > m_listed.size() + m_lost.size(); }
    bool isAlone() const { return m_listed.size() + m_lost.size() == 1; }
    bool isRecent(TimePoint time, TimePoint now) const { return now - time <= m_limit; }

    std::string m_self;
    std::string m_region;
    std::string m_logRegion;
    Duration m_limit = Limits().freshness;
    ConfigurationVersion m_version = 0;
    std::optional<TimePoint> m_ownFresh;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_lastFailure;
    std::map<std::string, PeerContact, std::less<>> m_peers;
    /// Random pings in the order of sending, true when answered.
    std::multimap<TimePoint, bool> m_pings;
    std::set<std::string, std::less<>> m_listed;
    /// Members that were forgotten while there was no evidence from the log. Without them an island
    /// would believe itself whole once its members forget those outside.
    std::set<std::string, std::less<>> m_lost;
    std::size_t m_live = 1;
};

} // namespace Coltsfootwell
