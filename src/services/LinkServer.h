// Part of the service "links": attempts that other daemons have sent here, and their answers.
// Only for .cpp files: it includes Asio.
#pragma once

#include "kernel/Executor.h"
#include "services/CallMessages.h"
#include "services/LinkConnection.h"
#include "services/TelemetryMessages.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell::Internal {

/// \brief What the server needs of its service.
struct LinkServerDependencies
{
    Executor &executor;
    DaemonId self;
    std::shared_ptr<LinkTraffic> traffic;
    std::function<void(BackendMessage)> toBackend;
    /// Passes a question on to the service of its subject.
    std::function<void(ExchangeSubject, PeerRequestReceived)> ask;
};

/// \brief Incoming side of all links.
class LinkServer : public std::enable_shared_from_this<LinkServer>
{
public:
    explicit LinkServer(LinkServerDependencies parts);

    /// \brief Serves a new connection.
    void accepted(boost::asio::ip::tcp::socket socket);

    /// \brief Tells daemons that send calls here about the load.
    void loadChanged(const LoadReport &load);

    /// \brief Forgets what is no longer asked for; called often.
    void tick();

    /// \brief Closes all connections.
    void stop();

private:
    struct Client
    {
        std::shared_ptr<LinkConnection> connection;
        DaemonId daemon;
        TimePoint lastRun {};
    };

    using ClientPtr = std::shared_ptr<Client>;

    struct Served
    {
        std::weak_ptr<Client> client;
        std::string body;
        /// Length of the body that was asked for and has not arrived yet.
        std::uint64_t missingBytes = 0;
        /// Answer, kept for a while in case its connection breaks on the way.
        std::optional<LinkFrame> finished;
        /// Set while the connection of the attempt is broken.
        std::optional<TimePoint> orphanSince;
    };

    struct Expiry
    {
        TimePoint at;
        AttemptId attempt;
    };

    void received(const ClientPtr &client, LinkFrame frame);
    void run(const ClientPtr &client, const AttemptId &attempt, RunFrame frame);
    void takeBody(const ClientPtr &client, const AttemptId &attempt, BodyPartFrame part);
    void askForBody(const AttemptId &attempt, std::uint64_t bytes);
    void cancel(const AttemptId &attempt);
    void resume(const ClientPtr &client, const AttemptId &attempt, Incarnation sentTo);
    void answer(const ClientPtr &client, ExchangeFrame question);
    void finished(const AttemptId &attempt, AttemptResult result);
    void closed(const ClientPtr &client);

    LinkServerDependencies m_parts;
    std::vector<ClientPtr> m_clients;
    std::unordered_map<AttemptId, Served> m_served;
    std::deque<Expiry> m_expiries;
};

} // namespace Coltsfootwell::Internal
