// Part of the service "links": connections to other daemons and the attempts that were sent over
// them. An attempt whose connection breaks is asked for over the next one, so that its answer is
// not lost and it never runs twice.
// Only for .cpp files: it includes Asio.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/LinkConnection.h"
#include "services/TelemetryMessages.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell::Internal {

/// \brief What the client needs of its service.
struct LinkClientDependencies
{
    boost::asio::io_context &context;
    Executor &executor;
    DaemonId self;
    std::shared_ptr<LinkTraffic> traffic;
    std::function<void(LoadReportReceived)> loadLearned;
    std::function<void(DaemonUnreachable)> unreachable;
    std::function<void(TelemetryMessage)> tell;
};

/// \brief Outgoing side of all links.
class LinkClient
{
public:
    explicit LinkClient(LinkClientDependencies parts);
    ~LinkClient();

    /// \brief Sends an attempt.
    void run(RunAttempt attempt);

    /// \brief Tells the serving daemon that an answer is no longer wanted.
    void cancel(const AttemptId &attempt);

    /// \brief Exchanges bytes with a service of another daemon.
    void ask(SendPeerRequest ask);

    /// \brief Looks after connections; called every TickPeriod.
    void tick();

    /// \brief Closes all connections.
    void stop();

    static constexpr std::chrono::milliseconds TickPeriod {50};

private:
    struct Sent
    {
        RunAttempt attempt;
        bool onWire = false;
        /// Process that it was sent to; 0 when its connection broke before that was known.
        Incarnation sentTo = 0;
    };

    struct Question
    {
        SendPeerRequest ask;
        TimePoint until;
    };

    struct Peer
    {
        Endpoint endpoint;
        DaemonId daemon;
        std::shared_ptr<LinkConnection> connection;
        /// Socket of a connection that is being made.
        std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
        TimerId connectTimer = 0;
        std::unordered_map<AttemptId, Sent> sent;
        std::map<std::uint64_t, Question> questions;
        std::optional<TimePoint> pingedAt;
        TimePoint lastUsed {};
        /// Time at which a connection broke that was not made again yet.
        std::optional<TimePoint> brokenSince;
        TimePoint nextTry {};
    };

    using PeerPtr = std::shared_ptr<Peer>;

    PeerPtr peerAt(const Endpoint &endpoint);
    void connect(const PeerPtr &peer);
    void connected(const PeerPtr &peer);
    void connectFailed(const PeerPtr &peer);
    void broken(const PeerPtr &peer);
    void giveUp(const PeerPtr &peer, bool idempotentOnly);
    void received(const PeerPtr &peer, LinkFrame frame);
    void answered(const PeerPtr &peer, LinkFrame &frame);
    void sendRun(Peer &peer, Sent &sent);
    void sendBody(Peer &peer, const AttemptId &attempt);
    void sendQuestion(Peer &peer, std::uint64_t nonce, const Question &question);
    void finish(Peer &peer, const AttemptId &attempt, AttemptResult result);
    void checkLiveness(const PeerPtr &peer, TimePoint now);
    TimePoint now() const { return m_parts.executor.now(); }

    LinkClientDependencies m_parts;
    std::map<Endpoint, PeerPtr> m_peers;
    std::unordered_map<AttemptId, PeerPtr> m_attempts;
    std::uint64_t m_lastNonce = 0;
};

} // namespace Coltsfootwell::Internal
