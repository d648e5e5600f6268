// One HTTP connection from a caller, a backend server or another daemon.
// Only for .cpp files: it includes Asio.
#pragma once

#include "kernel/Directory.h"
#include "kernel/Random.h"
#include "services/CallsMessage.h"
#include "services/TelemetryMessages.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace Coltsfootwell::Internal {

/// \brief What the service "callers" does with an open connection.
class SessionHandle
{
public:
    virtual ~SessionHandle() = default;

    /// \brief Closes the connection between two requests; a request in progress ends first.
    virtual void close() = 0;
};

/// \brief What all sessions of the service share.
struct SessionContext
{
    SessionContext(Executor &runsOn, Random &source, Directory &names, DaemonId daemon)
        : executor(runsOn), random(source), directory(names), self(std::move(daemon))
    {
    }

    Executor &executor;
    Random &random;
    Directory &directory;
    DaemonId self;
    Address<CallsMessage> calls;
    Address<BackendMessage> backend;
    Address<TelemetryMessage> telemetry;
    std::set<SessionHandle *> sessions;
    std::uint64_t lastCall = 0;
    /// True once answers ask callers to close their connections.
    bool leaving = false;
    /// True once callers' new calls are refused; nested calls of running calls still pass.
    bool finishing = false;
    /// Called when the last session has ended, once it is set.
    Task stopped;

    /// \brief Forgets a session.
    void sessionEnded(SessionHandle *session);
};

/// \brief Serves the requests of one connection until it closes.
/// \param socket the accepted connection.
/// \param context outlives the session.
void startSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);

} // namespace Coltsfootwell::Internal
