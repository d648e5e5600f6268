// The SWIM protocol: every daemon pings random others, asks others to ping those that do not
// answer, and passes news of members on with its datagrams.
//
// A member that does not answer becomes suspect, and unreachable once enough observers have said
// so and it has not refuted within the suspicion time. Sockets, timers and encodings belong to
// the caller of this class.
#pragma once

#include "decisions/Datagram.h"
#include "decisions/MemberTable.h"
#include "decisions/SyncMessages.h"

#include <functional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Send a datagram.
struct SendDatagram
{
    Endpoint to;
    Datagram datagram;
};

/// \brief Send startSync() to another daemon, then pass its answer to handleSyncAnswer().
struct StartSync
{
    Endpoint peer;
};

/// \brief A daemon has told how much it knows, in the answer to a ping or as news in a ping.
struct PeerReported
{
    DaemonId peer;
    Endpoint endpoint;
    /// Position of the operators' state that it knows; see ControlState.
    std::uint64_t position = 0;
};

/// \brief Another process with this daemon's name has the same or a higher incarnation.
struct IncarnationConflict
{
    Incarnation otherIncarnation = 0;
    /// False while joining: this daemon has taken a higher incarnation. True afterwards: the other
    /// process has replaced this daemon, which has to stop.
    bool replaced = false;
};

using MembershipOutput = std::variant<SendDatagram, StartSync, PeerReported, IncarnationConflict>;

/// \brief Events since the start.
struct MembershipCounts
{
    std::uint64_t pings = 0;
    std::uint64_t acks = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t unreachable = 0;
    std::uint64_t refutations = 0;
    std::uint64_t syncs = 0;
};

/// \brief Membership of one daemon.
class Membership
{
public:
    /// Longest time between two calls of tick().
    static constexpr std::chrono::milliseconds TickPeriod {100};
    static constexpr std::chrono::milliseconds PingPeriod {200};
    /// More than three round trips between regions (60 ms).
    static constexpr std::chrono::milliseconds DirectPingTimeout {200};
    static constexpr std::chrono::milliseconds ProbeTimeout {600};
    /// Suspicion time for up to ten members; grows with the decimal logarithm of their number.
    static constexpr std::chrono::seconds BaseSuspicionTimeout {1};
    static constexpr std::chrono::seconds DigestPeriod {10};
    /// Until the list was equal to another one for the first time. Many daemons that start at once
    /// learn more slowly of each other by gossip.
    static constexpr std::chrono::seconds InitialDigestPeriod {2};
    static constexpr std::chrono::seconds UnreachablePingPeriod {2};
    /// A daemon that has heard of nobody for this time has joined, alone.
    static constexpr std::chrono::seconds JoinTimeout {3};
    /// Between questions to seeds while nobody else is known.
    static constexpr std::chrono::seconds SeedPingPeriod {1};
    /// Between questions to seeds that are not live members, which heals a split of any length.
    static constexpr std::chrono::seconds SeedReconnectPeriod {30};
    /// A later tick means that this process was paused, and missing answers prove nothing.
    static constexpr std::chrono::seconds PauseThreshold {1};
    /// Bounds what the loss or return of a region costs: without the bound a daemon sent 20 KB/s,
    /// and a third of 1,000 daemons would fill the link between regions.
    /// Records that are received count too.
    static constexpr std::size_t GossipBytesPerSecond = 4'000;
    static constexpr std::size_t MaxGossipBudgetBytes = 2'400;
    /// Bounds requests and answers of full syncs, sent and received.
    static constexpr std::size_t SyncBytesPerSecond = 5'000;
    static constexpr std::size_t MaxSyncBudgetBytes = 20'000;
    /// Room of a daemon that has just started: a list of 1,000 members takes 110 KB.
    static constexpr std::size_t InitialSyncBudgetBytes = 120'000;
    /// Least time between full syncs of a daemon whose list was once equal to another one, and
    /// between comparisons while lists differ. With 10 s and three comparisons that differ, the
    /// last of 250 members took over 40 s to learn of the loss of a third.
    static constexpr std::chrono::seconds MinSyncInterval {3};
    /// With this many records to pass on a daemon also syncs every MinSyncInterval, since a sync
    /// sends a record once and gossip several times.
    static constexpr std::size_t SyncBacklogThreshold = 64;
    /// Between searches for members to forget, which take a look at each member.
    static constexpr std::chrono::seconds ExpiryPeriod {1};
    static constexpr std::size_t IndirectPings = 3;
    static constexpr std::size_t RequiredObservers = 2;
    /// Daemons of the own data centre, and of all, that hear at once of a newer version. Those that
    /// are missed learn it from the next ping.
    static constexpr std::size_t LocalUpdatePings = 3;
    static constexpr std::size_t RemoteUpdatePings = 1;
    /// Members that hear at once of a refutation, which has to reach everyone within the suspicion
    /// time.
    static constexpr std::size_t RefutationPings = 8;
    static constexpr std::size_t MaxSeeds = 64;

    using Outputs = std::span<const MembershipOutput>;

    /// \param self the daemon's own record.
    /// \param seeds daemons to ask first.
    /// \param random outlives this object.
    Membership(Member self, std::vector<Endpoint> seeds, Random &random);

    /// \brief Sends what is due and ends what has waited too long.
    /// \return valid until the next call, as for all functions that return outputs.
    Outputs tick(TimePoint now);

    /// \param datagram received.
    /// \param sender address to answer to.
    Outputs handle(const Datagram &datagram, const Endpoint &sender, TimePoint now);

    /// \brief Changes the part of the own record that describes the backend server.
    void setBackend(std::string_view service, BackendState state, std::uint32_t slots);

    /// \brief Announces whether the store answers this daemon. Those that may have to read the
    /// store in its place hear of it at once.
    Outputs setStoreLost(bool lost, TimePoint now);

    /// \brief Announces a planned stop.
    void leave();

    /// \brief Announces the end of a planned stop to some members.
    Outputs announceLeft(TimePoint now);

    /// \brief Adds seeds; beyond MaxSeeds further ones are ignored.
    void addSeeds(std::span<const Endpoint> seeds);

    /// \brief This daemon knows the operators' state up to a position. Some others hear of it at
    /// once, the rest from pings and their answers.
    /// \param version position; lower ones than before change nothing.
    Outputs advancePosition(std::uint64_t position, TimePoint now);

    /// \return the request of a full sync that starts now.
    SyncRequest startSync(TimePoint now);

    /// \brief Answers a full sync.
    /// \param request of another daemon, whose own record is taken over.
    /// \param answer gets the records that the asker lacks or has in an older state, as far as the
    /// bytes for syncs allow.
    Outputs handleSyncRequest(const SyncRequest &request, SyncAnswer &answer, TimePoint now);

    /// \brief Takes over the answer of a full sync.
    /// \param partial true when the other daemon has further records.
    Outputs handleSyncAnswer(std::span<const MemberRecord> records, TimePoint now,
                             bool partial = false);

    std::span<const Member> members() const { return m_table.members(); }
    std::uint64_t revision() const { return m_table.revision(); }
    std::uint64_t digest() const { return m_table.digest(); }
    const MembershipCounts &counts() const { return m_counts; }
    /// \return true once a higher incarnation of this daemon means that it was replaced.
    bool hasJoined() const { return m_joined; }

private:
    struct Probe
    {
        std::uint64_t nonce = 0;
        /// Empty for a seed whose name is not known.
        std::string target;
        TimePoint sent {};
        bool indirect = false;
    };

    /// An indirect ping made for another daemon.
    struct RelayedPing
    {
        std::uint64_t nonce = 0;
        std::string target;
        Endpoint origin;
        std::uint64_t originNonce = 0;
        TimePoint sent {};
    };

    void receive(const Datagram &datagram, const Ping &ping, const Endpoint &sender, TimePoint now);
    void receive(const Datagram &datagram, const Ack &ack, const Endpoint &sender, TimePoint now);
    void receive(const Datagram &datagram, const IndirectPing &ping, const Endpoint &sender,
                 TimePoint now);
    void receive(const Datagram &datagram, const IndirectAck &ack, const Endpoint &sender,
                 TimePoint now);

    void applyRecord(const MemberRecord &record, TimePoint now, bool propagate = true);
    void applySyncRecords(std::span<const MemberRecord> records, TimePoint now);
    void handleOwnRecord(const Member &heard, TimePoint now);
    void updateSelf(Member self);
    void resetAfterPause(TimePoint now);
    void refillBudgets(Duration elapsed);
    void pingMembers(TimePoint now);
    void pingSeeds(TimePoint now);
    void startDueSync(TimePoint now);
    void expireProbes(TimePoint now);
    void sendIndirectPings(const Probe &probe, TimePoint now);
    void suspect(const std::string &name, TimePoint now);
    void confirmSuspicions(TimePoint now);
    void compareDigest(std::uint64_t digest, const Endpoint &peer, TimePoint now);
    void requestSync(const Endpoint &peer, TimePoint now);
    void consumeSyncBudget(std::size_t bytes);
    std::size_t summaryBytes() const;
    void consumeGossipBudget(std::size_t bytes);
    void pingMember(std::size_t index, bool digestRequested, TimePoint now);
    void sendDatagram(const Endpoint &to, std::variant<Ping, Ack, IndirectPing, IndirectAck> body,
                      std::optional<std::size_t> subject, TimePoint now);
    void pingRandomMembers(std::size_t n, TimePoint now,
                           const std::function<bool(const Member &)> &accepts);
    bool isPingable(std::size_t index) const;
    Duration suspicionTimeout() const;

    Random &m_random;
    MemberTable m_table;
    std::vector<Endpoint> m_seeds;
    std::vector<Probe> m_probes;
    std::vector<RelayedPing> m_relayedPings;
    std::vector<MembershipOutput> m_outputs;
    MembershipCounts m_counts;

    std::uint64_t m_position = 0;

    std::optional<TimePoint> m_started;
    TimePoint m_lastTick {};
    TimePoint m_nextPing {};
    TimePoint m_nextUnreachablePing {};
    TimePoint m_nextDigest {};
    TimePoint m_nextExpiry {};
    std::optional<TimePoint> m_lastSeedPing;
    TimePoint m_nextSync {};
    std::size_t m_gossipBudgetBytes = MaxGossipBudgetBytes;
    std::size_t m_syncBudgetBytes = InitialSyncBudgetBytes;
    /// The last comparison of digests found equal lists.
    bool m_digestsMatch = false;
    /// Any comparison did.
    bool m_digestsEverMatched = false;
    bool m_joined = false;
    bool m_initialSyncDone = false;
    bool m_replaced = false;
};

} // namespace Coltsfootwell
