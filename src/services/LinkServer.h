// Part of the service "links": attempts received from other daemons, and their results.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "kernel/Executor.h"
#include "services/BodyReservation.h"
#include "services/CallMessages.h"
#include "services/FrameTable.h"
#include "services/LinkConnection.h"
#include "services/OutgoingBodies.h"
#include "services/TelemetryMessages.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell::Internal {

/// \brief Dependencies of LinkServer; all references must outlive it.
struct LinkServerDependencies
{
    Executor &executor;
    DaemonId self;
    std::shared_ptr<LinkTraffic> traffic;
    /// Memory for bodies that are received from other daemons.
    std::shared_ptr<SharedBodyBudget> bodyBudget;
    std::function<void(BackendMessage)> toBackend;
    /// Forwards a request of a peer to the service of its subject.
    std::function<void(ExchangeSubject, PeerRequestReceived)> forwardPeerRequest;
    /// Tells where a daemon is, by its name.
    std::function<LinkDestination(std::string_view)> destinationOf
        = [](std::string_view) { return LinkDestination::Unknown; };
    /// Maximum number of bytes of sent answers that are kept in case their connection breaks.
    std::size_t maxKeptAnswerBytes = 8ULL << 20;
};

/// \brief Server side of all links.
class LinkServer : public std::enable_shared_from_this<LinkServer>
{
public:
    explicit LinkServer(LinkServerDependencies dependencies);

    /// \brief Serves an accepted connection.
    void connectionAccepted(boost::asio::ip::tcp::socket socket);

    /// \brief Sends the load to all daemons that have recently sent calls.
    void loadChanged(const LoadReport &load);

    /// \brief Expires retained results and cancels orphaned runs; call every
    /// LinkClient::TickInterval.
    void tick();

    /// \return true while a connected entry daemon has not received all its answers.
    bool isDelivering() const;

    /// \brief Closes all connections.
    void stop();

    /// Time after which a run is cancelled if its entry daemon has not reconnected.
    static constexpr Duration OrphanTimeout = std::chrono::milliseconds(400);

private:
    struct Client
    {
        std::shared_ptr<LinkConnection> connection;
        DaemonId daemon;
        /// True if long answers are sent in parts. A daemon that has not named itself yet, or runs
        /// a version without parts, gets them whole.
        bool acceptsAnswerParts = false;
        /// Bodies of answers that are being sent.
        OutgoingBodies outgoingBodies;
        /// Time of the last attempt; default-constructed if there is none.
        TimePoint lastRunAt {};
    };

    using ClientPtr = std::shared_ptr<Client>;

    struct ServedAttempt
    {
        explicit ServedAttempt(std::shared_ptr<SharedBodyBudget> budget)
            : reservation(std::move(budget))
        {
        }

        /// Connection over which the attempt was received or last resumed.
        std::weak_ptr<Client> client;
        /// Deadline of the attempt; its entry daemon needs no answer after it.
        TimePoint deadline {};
        /// Parts of the requested body received so far.
        std::string body;
        BodyReservation reservation;
        /// Number of bytes of the requested body that have not been received yet.
        std::uint64_t missingBodyBytes = 0;
        /// Result, retained for a short time in case the connection breaks while it is sent;
        /// without the body of an answer.
        std::optional<LinkFrame> result;
        BodyPtr answerBody;
        /// True if the result was last sent without the body, which the entry daemon requests.
        bool bodyFollows = false;
        /// Number of bytes of a sent body that is kept, see maxKeptAnswerBytes.
        std::size_t keptBytes = 0;
        /// Time at which the connection of the attempt broke; empty while it is connected.
        std::optional<TimePoint> disconnectedSince;
    };

    struct Expiry
    {
        TimePoint at;
        AttemptId attempt;
    };

    /// Drops the result of an attempt, also if it is being sent.
    void dropResult(const AttemptId &attempt);
    void frameReceived(const ClientPtr &client, LinkFrame frame);
    void helloReceived(const ClientPtr &client, LinkFrame &frame);
    void pingReceived(const ClientPtr &client, LinkFrame &frame);
    void cancelReceived(const ClientPtr &client, LinkFrame &frame);
    void startAttempt(const ClientPtr &client, LinkFrame &received);
    void receiveBodyPart(const ClientPtr &client, LinkFrame &frame);
    void resumeAttempt(const ClientPtr &client, LinkFrame &frame);
    void handlePeerRequest(const ClientPtr &client, LinkFrame &frame);
    /// Sends the body of an answer in parts.
    void sendAnswerBody(const ClientPtr &client, LinkFrame &frame);
    /// \return false if there is no memory for the body.
    bool requestBodyFor(const AttemptId &attempt, std::uint64_t bytes);
    void cancelAttempt(const AttemptId &attempt);
    void attemptFinished(const AttemptId &attempt, AttemptResult result);
    void sendResult(Client &client, const AttemptId &attempt, ServedAttempt &served);
    /// Keeps the body of an answer that was sent whole, and drops older ones beyond the limit.
    void keepSent(const AttemptId &attempt, ServedAttempt &served);
    /// \return true if the entry daemon may still request the body of the answer.
    static bool isAwaited(const ServedAttempt &served, TimePoint now);
    void connectionClosed(const ClientPtr &client);

    static const FrameTable<LinkServer, const ClientPtr &> FrameHandlers;

    LinkServerDependencies m_dependencies;
    std::vector<ClientPtr> m_clients;
    std::unordered_map<AttemptId, ServedAttempt> m_served;
    std::deque<Expiry> m_expiries;
    /// Attempts whose sent bodies are kept, in the order of sending; some may have been dropped.
    std::deque<AttemptId> m_kept;
    std::size_t m_keptBytes = 0;
};

} // namespace Coltsfootwell::Internal
