// Part of the service "links": the connection to one other daemon, from the first attempt to
// connect over breaks and reconnections to its end.
//
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/FrameTable.h"
#include "services/LinkClientDependencies.h"
#include "services/LinkSession.h"
#include "services/OpenAttempts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Coltsfootwell::Internal {

/// \brief One other daemon, the connection to it and what waits for its answers.
class LinkPeer : public std::enable_shared_from_this<LinkPeer>
{
public:
    /// \param dependencies must outlive the object.
    /// \param onAttemptEnded called for each attempt that gets its result.
    LinkPeer(const LinkClientDependencies &dependencies, Endpoint endpoint,
             std::function<void(const AttemptId &)> onAttemptEnded);

    /// \brief Sends an attempt, after connecting if necessary.
    void sendAttempt(RunAttempt attempt);

    /// \brief Cancels an attempt and tells the peer.
    void cancelAttempt(const AttemptId &attempt) { m_attempts.cancel(attempt); }

    /// \brief Sends a request to a service of the peer, after connecting if necessary.
    void sendRequest(SendPeerRequest message);

    /// \brief Reconnects, checks liveness and expires requests and cancellations; call every
    /// LinkClient::TickInterval.
    /// \return false if the peer has not been used for long; its connection has been closed then.
    bool tick();

    /// \brief Closes the connection.
    void stop();

private:
    struct PendingRequest
    {
        SendPeerRequest message;
        TimePoint expiresAt;
    };

    bool isInUse() const
    {
        return !m_attempts.empty() || m_attempts.hasPendingCancels() || !m_requests.empty();
    }
    void connect();
    void connected();
    void connectFailed();
    void connectionBroken();
    void failAttempts(bool idempotentOnly);
    void checkLiveness(TimePoint now);
    void writeRequest(std::uint64_t nonce, const PendingRequest &request);

    void frameReceived(LinkFrame frame);
    void helloReceived(LinkFrame &frame);
    /// Logs that a lost daemon has named itself again.
    void logReturn();
    void pongReceived(LinkFrame &frame);
    void requestAnswered(LinkFrame &frame);
    void loadReceived(LinkFrame &frame);

    TimePoint now() const { return m_dependencies.executor.now(); }

    static const FrameTable<LinkPeer> FrameHandlers;

    const LinkClientDependencies &m_dependencies;
    const Endpoint m_endpoint;
    LinkSession m_session;
    OpenAttempts m_attempts;
    std::map<std::uint64_t, PendingRequest> m_requests;
    /// Socket while a connection is being established; null otherwise.
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
    TimerId m_connectTimer = 0;
    /// Number of the last request or ping.
    std::uint64_t m_lastNonce = 0;
    /// Time of the last ping without an answer.
    std::optional<TimePoint> m_pingedAt;
    TimePoint m_lastUsed {};
    /// Time at which the current connection was established.
    TimePoint m_connectedAt {};
    /// Time at which the connection broke; empty once another one has lasted.
    std::optional<TimePoint> m_brokenSince;
    /// Time at which the daemon was lost; empty once it has named itself again.
    std::optional<TimePoint> m_lostSince;
    /// Earliest time of the next attempt to connect.
    TimePoint m_nextConnectAt {};
};

} // namespace Coltsfootwell::Internal
