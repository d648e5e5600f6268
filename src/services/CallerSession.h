// One HTTP connection from a caller.
// Only for .cpp files: it includes Asio.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Directory.h"
#include "kernel/Random.h"
#include "services/CallMessages.h"
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

    /// \brief Closes the connection once it is between two requests.
    virtual void close() = 0;
};

/// \brief What all sessions of the service share.
struct SessionContext
{
    SessionContext(Executor &runsOn, Directory &names, const HttpDialect &spelling, DaemonId daemon)
        : executor(runsOn), directory(names), dialect(spelling), self(std::move(daemon))
    {
    }

    Executor &executor;
    Directory &directory;
    const HttpDialect &dialect;
    DaemonId self;
    /// True when paths below "/coltsfootwell/" are answered by the daemon itself.
    bool servesControl = true;
    RequestLimits limits;
    Address<CallsMessage> calls;
    Address<TelemetryMessage> telemetry;
    std::set<SessionHandle *> sessions;
    std::uint64_t lastCall = 0;
    /// True once answers ask callers to close their connections.
    bool leaving = false;
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
