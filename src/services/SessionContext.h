// State that all connections from callers share, in the service "callers".
// Include only from .cpp files, since it includes Beast.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/ConnectionLimit.h"
#include "kernel/Kernel.h"
#include "services/AnswerReaders.h"
#include "services/CallMessages.h"
#include "services/RequestMemory.h"
#include "services/TelemetryMessages.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <set>

namespace Coltsfootwell::Internal {

/// \brief Interface through which the service "callers" closes its sessions.
class SessionHandle
{
public:
    virtual ~SessionHandle() = default;

    /// \brief Closes the connection after the requests in flight have been answered.
    virtual void close() = 0;

    /// \brief Closes the connection at once if it is idle.
    /// \return false if it is not.
    virtual bool closeIfIdle() = 0;

    /// \return state of the connection, for the limit on their number.
    virtual ConnectionState state() const = 0;
};

/// \brief State that all sessions of the service share.
struct SessionContext
{
    SessionContext(Kernel &kernel, const HttpDialect &httpDialect, DaemonId daemon,
                   std::size_t maxRequestBytes)
        : executor(kernel.executor()), directory(kernel.directory()), random(kernel.random()),
          dialect(httpDialect), self(std::move(daemon)),
          requestMemory(std::make_shared<RequestMemory>(executor, maxRequestBytes))
    {
        readBuffer.reserve(MaxReadBytes);
    }

    Executor &executor;
    Directory &directory;
    Random &random;
    const HttpDialect &dialect;
    DaemonId self;
    /// Memory for requests that are being read or under way.
    std::shared_ptr<RequestMemory> requestMemory;
    /// Maximum number of bytes per read.
    static constexpr std::size_t MaxReadBytes = 64 * 1024;
    /// Room for the bytes of one read. Each session parses or copies them before it waits, so that
    /// connections need no buffers of that size.
    boost::beast::flat_buffer readBuffer;
    /// True if the daemon itself answers paths below "/coltsfootwell/".
    bool servesControl = true;
    RequestLimits limits;
    Address<CallsMessage> calls;
    Address<TelemetryMessage> telemetry;
    AnswerReaders answerReaders {executor};
    std::set<SessionHandle *> sessions;
    /// Number of the last call that was submitted by any session.
    std::uint64_t lastCallNumber = 0;
    /// True once answers close their connections, during a planned stop.
    bool draining = false;
    /// Called once when the last session has ended; empty while the service runs.
    Task onAllSessionsEnded;
    /// Called once when a session has ended; empty if nothing waits for that.
    Task onSessionEnded;

    /// \brief Removes a session that has ended.
    void removeSession(SessionHandle *session);
};

} // namespace Coltsfootwell::Internal
