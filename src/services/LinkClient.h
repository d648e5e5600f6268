// Part of the service "links": connections to other daemons and the attempts sent over them. An
// attempt whose connection breaks is resumed over the next connection, so that its answer is not
// lost and it never runs twice.
//
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/IncomingAnswer.h"
#include "services/LinkConnection.h"
#include "services/OutgoingBodies.h"
#include "services/TelemetryMessages.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell::Internal {

/// \brief Dependencies of LinkClient; all references must outlive it.
struct LinkClientDependencies
{
    boost::asio::io_context &context;
    Executor &executor;
    DaemonId self;
    std::shared_ptr<LinkTraffic> traffic;
    /// Memory for answers that are received from other daemons.
    std::shared_ptr<SharedBodyBudget> answerBudget;
    std::function<void(LoadReportReceived)> onLoadReport;
    std::function<void(DaemonUnreachable)> onDaemonUnreachable;
    std::function<void(TelemetryMessage)> sendTelemetry;
    /// Tells where a daemon is, by its name.
    std::function<LinkDestination(std::string_view)> destinationOf
        = [](std::string_view) { return LinkDestination::Unknown; };
};

/// \brief Client side of all links.
class LinkClient
{
public:
    explicit LinkClient(LinkClientDependencies dependencies);
    ~LinkClient();

    /// \brief Sends an attempt, after connecting to the serving daemon if necessary.
    void sendAttempt(RunAttempt attempt);

    /// \brief Cancels an attempt and notifies its serving daemon.
    void cancelAttempt(const AttemptId &attempt);

    /// \brief Sends a request to a service of another daemon.
    void sendPeerRequest(SendPeerRequest message);

    /// \brief Reconnects, checks liveness and expires requests and connections; call every
    /// TickInterval.
    void tick();

    /// \brief Closes all connections.
    void stop();

    /// Interval between calls of tick().
    static constexpr std::chrono::milliseconds TickInterval {50};

private:
    /// An attempt without a result.
    struct OpenAttempt
    {
        RunAttempt attempt;
        /// True once the attempt was written to a connection.
        bool wasSent = false;
        /// Incarnation of the process that it was sent to; 0 if that process has not named itself
        /// over the connection to which the attempt was written.
        Incarnation sentTo = 0;
        /// True while the HelloFrame of that connection can still arrive.
        bool awaitsHello = false;
        TimePoint sentAt {};
        /// Number of connections over which the attempt was resumed.
        unsigned resumptions = 0;
        /// Answer whose body follows over the current connection.
        std::optional<IncomingAnswer> answer;
        /// True once an answer has been announced over any connection: the attempt has run.
        bool isAnswered = false;
    };

    struct PendingPeerRequest
    {
        SendPeerRequest message;
        TimePoint expiresAt;
    };

    /// One daemon and the connection to it.
    struct Peer
    {
        Endpoint endpoint;
        /// Name and incarnation from the HelloFrame of the current connection; empty before it.
        DaemonId daemon;
        /// Null while there is no connection.
        std::shared_ptr<LinkConnection> connection;
        /// Socket while a connection is being established; null otherwise.
        std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
        TimerId connectTimer = 0;
        std::unordered_map<AttemptId, OpenAttempt> openAttempts;
        std::map<std::uint64_t, PendingPeerRequest> peerRequests;
        OutgoingBodies outgoingBodies;
        /// Time of the last ping without an answer.
        std::optional<TimePoint> pingedAt;
        TimePoint lastUsed {};
        /// Time at which the current connection was established.
        TimePoint connectedAt {};
        /// Time at which the connection broke; empty once another one has lasted.
        std::optional<TimePoint> brokenSince;
        /// Time at which the daemon was lost; empty once it has named itself again.
        std::optional<TimePoint> lostSince;
        /// Earliest time of the next attempt to connect.
        TimePoint nextConnectAt {};
    };

    using PeerPtr = std::shared_ptr<Peer>;

    static bool isInUse(const Peer &peer)
    {
        return !peer.openAttempts.empty() || !peer.peerRequests.empty();
    }
    PeerPtr findOrCreatePeer(const Endpoint &endpoint);
    void connect(const PeerPtr &peer);
    void connected(const PeerPtr &peer);
    void connectFailed(const PeerPtr &peer);
    void connectionBroken(const PeerPtr &peer);
    void failAttempts(const PeerPtr &peer, bool idempotentOnly);
    void frameReceived(const PeerPtr &peer, LinkFrame frame);
    void logReturn(Peer &peer);
    void resultReceived(const PeerPtr &peer, LinkFrame &frame);
    void logResumedResult(const Peer &peer, const LinkFrame &frame);
    void sendRun(Peer &peer, OpenAttempt &openAttempt);
    void resume(Peer &peer, OpenAttempt &openAttempt);
    void startBody(Peer &peer, const AttemptId &attempt);
    void longAnswerReceived(const PeerPtr &peer, LinkFrame &frame);
    /// Requests the body of an answer as soon as there is memory for it.
    void requestAnswerBody(const PeerPtr &peer, const AttemptId &attempt);
    void answerPartReceived(Peer &peer, const LinkFrame &frame);
    void logAnswerWait(OpenAttempt &openAttempt);
    void writePeerRequest(Peer &peer, std::uint64_t nonce, const PendingPeerRequest &request);
    void completeAttempt(Peer &peer, const AttemptId &attempt, AttemptResult result);
    void checkLiveness(const PeerPtr &peer, TimePoint now);
    TimePoint now() const { return m_dependencies.executor.now(); }

    LinkClientDependencies m_dependencies;
    std::map<Endpoint, PeerPtr> m_peers;
    std::unordered_map<AttemptId, PeerPtr> m_attempts;
    std::uint64_t m_lastNonce = 0;
};

} // namespace Coltsfootwell::Internal
