// Failure detection and membership by the SWIM protocol: each daemon pings random members, requests
// indirect pings of members that do not reply, and piggybacks gossip on its datagrams.
//
// A member that does not reply becomes suspect. It becomes unreachable when enough observers
// suspect it and it does not refute the suspicion within the suspicion timeout. Sockets, timers and
// encodings are the responsibility of the owner of a Membership object.
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

/// \brief Output: the owner sends a datagram.
struct SendDatagram
{
    Endpoint to;
    Datagram datagram;
};

/// \brief Output: the owner sends the result of startSync() to another daemon and passes the answer
/// to handleSyncAnswer().
struct StartSync
{
    Endpoint peer;
};

/// \brief Output: another daemon has reported its control state, in an Ack, or in a Ping when it is
/// ahead of this daemon; see isAhead().
struct ControlStateReported
{
    DaemonId peer;
    Endpoint endpoint;
    ControlStateSummary state;
};

/// \brief Output: another process with this daemon's name has the same or a higher incarnation.
struct IncarnationConflict
{
    Incarnation otherIncarnation = 0;
    /// False while joining, or if the other process was a predecessor of this one: this daemon has
    /// taken a higher incarnation. True otherwise: the other process has replaced this daemon,
    /// which must stop.
    bool replaced = false;
};

using MembershipOutput
    = std::variant<SendDatagram, StartSync, ControlStateReported, IncarnationConflict>;

/// \brief Counters of protocol events since the start.
struct MembershipCounts
{
    /// Pings that wait for an Ack: those of random members and seeds, and those on behalf of other
    /// daemons. Pings that only propagate a change are not counted.
    std::uint64_t pings = 0;
    /// Acks of this daemon's own pings.
    std::uint64_t acks = 0;
    /// Alive members that this daemon began to suspect.
    std::uint64_t suspicions = 0;
    /// Members that this daemon declared unreachable.
    std::uint64_t unreachable = 0;
    /// Records about this daemon that it refuted.
    std::uint64_t refutations = 0;
    /// Full syncs that this daemon started and completed.
    std::uint64_t syncs = 0;
};

/// \brief The membership protocol of one daemon.
class Membership
{
public:
    /// Maximum time between two calls of tick().
    static constexpr std::chrono::milliseconds TickInterval {100};
    /// Interval between pings of random members (the protocol period of SWIM).
    static constexpr std::chrono::milliseconds PingInterval {200};
    /// Time without an Ack after which indirect pings are sent. More than three round trips between
    /// regions, which take 60 ms each.
    static constexpr std::chrono::milliseconds DirectPingTimeout {200};
    /// Time without a direct or indirect reply after which a member becomes suspect.
    static constexpr std::chrono::milliseconds ProbeTimeout {600};
    /// Suspicion timeout for up to ten members. For more members it is multiplied by the decimal
    /// logarithm of their number.
    static constexpr std::chrono::seconds BaseSuspicionTimeout {1};
    /// Interval between comparisons of digests while the digests match.
    static constexpr std::chrono::seconds DigestInterval {10};
    /// Interval between comparisons of digests until the first match with another daemon. Shorter
    /// than DigestInterval because gossip alone is slow when many daemons start at once.
    static constexpr std::chrono::seconds InitialDigestInterval {2};
    /// Interval between pings of random unreachable members, which may have recovered.
    static constexpr std::chrono::seconds UnreachablePingInterval {2};
    /// Time after the start at which a daemon counts as joined even if it has not synced with
    /// another daemon.
    static constexpr std::chrono::seconds JoinTimeout {3};
    /// Interval between pings of the seeds while no other member is alive or suspect, and minimum
    /// interval between full syncs until the first match of digests.
    static constexpr std::chrono::seconds SeedPingInterval {1};
    /// Interval between pings of seeds that are not live members, which heals network partitions of
    /// any duration.
    static constexpr std::chrono::seconds SeedReconnectInterval {30};
    /// Time without a tick after which this process is considered to have been paused. Missing
    /// replies are then no evidence against other members.
    static constexpr std::chrono::seconds PauseThreshold {1};
    /// Maximum sustained rate of gossip, sent and received. Limits the traffic on the loss or
    /// return of a region: without a limit a daemon sent 20 KB/s, so that a third of 1,000 daemons
    /// would saturate the link between regions.
    static constexpr std::size_t GossipBytesPerSecond = 4'000;
    /// Maximum unused gossip budget, and with it the maximum burst.
    static constexpr std::size_t MaxGossipBudgetBytes = 2'400;
    /// Maximum sustained rate of the requests and answers of full syncs, sent and received.
    static constexpr std::size_t SyncBytesPerSecond = 5'000;
    /// Maximum unused sync budget once the initial sync is complete.
    static constexpr std::size_t MaxSyncBudgetBytes = 20'000;
    /// Sync budget at the start, enough for a list of 1,000 members, which takes 110 KB.
    static constexpr std::size_t InitialSyncBudgetBytes = 120'000;
    /// Minimum interval between full syncs after the first match of digests, and interval between
    /// comparisons while the digests differ. With 10 s, and a sync only after three mismatches, the
    /// loss of a third of 250 members took over 40 s to reach the last member.
    static constexpr std::chrono::seconds MinSyncInterval {3};
    /// Length of the gossip queue from which a daemon also syncs every MinSyncInterval: a sync
    /// sends a record once, gossip several times.
    static constexpr std::size_t SyncBacklogThreshold = 64;
    /// Interval between scans of the whole list for members to remove.
    static constexpr std::chrono::seconds ExpiryInterval {1};
    /// Maximum number of members that are requested to ping a member that does not reply.
    static constexpr std::size_t MaxIndirectPings = 3;
    /// Number of observers that confirm a suspicion; fewer when fewer members are alive.
    static constexpr std::size_t RequiredObservers = 2;
    /// Number of members of this daemon's data centre that are notified immediately of a newer
    /// position of the control state. Other members receive it with the next ping.
    static constexpr std::size_t LocalUpdatePings = 3;
    /// Number of members of other data centres that are notified immediately.
    static constexpr std::size_t RemoteUpdatePings = 1;
    /// Number of members that are notified immediately of a refutation, which must reach every
    /// member within the suspicion timeout.
    static constexpr std::size_t RefutationPings = 8;
    /// Maximum number of seeds that are pinged at once.
    static constexpr std::size_t MaxSeedPings = 64;
    /// Interval between pings of parts of the seeds while no other member is alive or suspect,
    /// until all have been pinged.
    static constexpr std::chrono::milliseconds SeedBatchInterval {250};
    /// Maximum number of seeds, a multiple of the daemons at target size, since many may be of
    /// hosts that are gone.
    static constexpr std::size_t MaxSeeds = 16'384;

    using Outputs = std::span<const MembershipOutput>;

    /// \param self the daemon's own record.
    /// \param seeds endpoints of daemons to contact first.
    /// \param random must outlive this object.
    Membership(Member self, std::vector<Endpoint> seeds, Random &random);

    /// \brief Runs periodic actions that are due and handles timeouts.
    /// \return outputs; valid until the next call of a member function, as for all functions that
    /// return outputs.
    Outputs tick(TimePoint now);

    /// \brief Handles a received datagram.
    /// \param datagram the decoded datagram.
    /// \param sender endpoint for the reply.
    Outputs handle(const Datagram &datagram, const Endpoint &sender, TimePoint now);

    /// \brief Sets the backend server's state in this daemon's record.
    void setBackend(std::string_view service, BackendState state, std::uint32_t slots);

    /// \brief Announces whether the store answers this daemon. The reader candidates of the data
    /// centre, which may have to replace it as a reader, are notified immediately.
    Outputs setStoreLost(bool lost, TimePoint now);

    /// \brief Announces the start of a planned stop.
    void leave();

    /// \brief Announces the end of a planned stop to random members.
    ///
    /// Nothing is announced after a conflict: the incarnation is then that of a process that has
    /// replaced this one, or the one with which the services of this daemon start again.
    Outputs announceLeft(TimePoint now);

    /// \brief Replaces the seeds of earlier calls; those beyond MaxSeeds are ignored.
    /// \param seeds endpoints of daemons, those that are most likely to be alive first.
    void seedsDiscovered(std::span<const Endpoint> seeds);

    /// \brief Sets the summary of this daemon's control state. If it has changed, some random
    /// members are notified immediately, the others with further pings and Acks.
    Outputs setControlState(const ControlStateSummary &state, TimePoint now);

    /// \brief Starts a full sync.
    /// \return the request to send.
    SyncRequest startSync(TimePoint now);

    /// \brief Handles the request of a full sync.
    /// \param request request of another daemon; its own record is merged into the list.
    /// \param answer set to the records that the requester lacks or has in an older state, within
    /// the sync budget.
    Outputs handleSyncRequest(const SyncRequest &request, SyncAnswer &answer, TimePoint now);

    /// \brief Handles the answer of a full sync that this daemon started.
    /// \param records records of the answer.
    /// \param partial true if further records did not fit into the answer.
    Outputs handleSyncAnswer(std::span<const MemberRecord> records, TimePoint now,
                             bool partial = false);

    /// \return the member list; the daemon itself is the first member.
    std::span<const Member> members() const { return m_table.members(); }
    /// \return see MemberTable::revision().
    std::uint64_t revision() const { return m_table.revision(); }
    /// \return see MemberTable::digest().
    std::uint64_t digest() const { return m_table.digest(); }
    const MembershipCounts &counts() const { return m_counts; }
    /// \return true once the daemon has joined; a higher incarnation with its name and another
    /// endpoint then means that it was replaced.
    bool hasJoined() const { return m_joined; }

private:
    /// A pending ping of this daemon.
    struct Probe
    {
        std::uint64_t nonce = 0;
        /// Name of the pinged member; empty for a seed.
        std::string target;
        TimePoint sent {};
        /// True once indirect pings have been sent.
        bool indirect = false;
    };

    /// A pending ping that another daemon has requested.
    struct RelayedPing
    {
        std::uint64_t nonce = 0;
        std::string target;
        /// Endpoint and nonce of the requesting daemon.
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
    void handleOwnRecord(const Member &reported, TimePoint now);
    /// \return true if a process with a higher incarnation must have ended before this one started.
    /// As this process has the socket of the endpoint, a later one can only be on another host with
    /// the same address, which replaces a paused host. Other members remember a process that has
    /// ended for no longer than MemberTable::DownRetention.
    bool isPredecessor(const Member &reported, TimePoint now) const;
    void updateSelf(Member self);
    void resetAfterPause(TimePoint now);
    void refillBudgets(Duration elapsed);
    void pingMembers(TimePoint now);
    void pingSeeds(TimePoint now);
    void pingSeed(const Endpoint &seed, TimePoint now);
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
    /// \param subject index of a member whose record is included first, before other gossip.
    void sendDatagram(const Endpoint &to, std::variant<Ping, Ack, IndirectPing, IndirectAck> body,
                      std::optional<std::size_t> subject, TimePoint now);
    void pingRandomMembers(std::size_t n, TimePoint now,
                           const std::function<bool(const Member &)> &accepts);
    bool isPingable(std::size_t index) const;
    Duration suspicionTimeout() const;

    Random &m_random;
    MemberTable m_table;
    /// Seeds of the constructor.
    std::vector<Endpoint> m_configuredSeeds;
    /// All seeds in the order of their pings.
    std::vector<Endpoint> m_seeds;
    /// Index of the next seed to ping; 0 if all have been pinged.
    std::size_t m_nextSeed = 0;
    std::vector<Probe> m_probes;
    std::vector<RelayedPing> m_relayedPings;
    std::vector<MembershipOutput> m_outputs;
    MembershipCounts m_counts;

    ControlStateSummary m_state;

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
    /// True if the last comparison of digests found equal lists.
    bool m_digestsMatch = false;
    /// True if any comparison found equal lists.
    bool m_digestsEverMatched = false;
    bool m_joined = false;
    bool m_initialSyncDone = false;
    bool m_replaced = false;
    /// True once the process has been paused for PauseThreshold.
    bool m_wasPaused = false;
    /// True once an IncarnationConflict was reported.
    bool m_conflicted = false;
};

} // namespace Coltsfootwell
