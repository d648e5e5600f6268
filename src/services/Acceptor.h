// Accepts the connections of one listening socket.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/Member.h"
#include "kernel/Kernel.h"
#include "services/TelemetryMessages.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <system_error>

namespace Coltsfootwell::Internal {

/// \brief What an Acceptor asks of the service that owns it.
struct AcceptorHandlers
{
    /// Receives each connection.
    std::function<void(boost::asio::ip::tcp::socket)> onAccepted;
    /// Returns true if there is room for another connection; empty if there always is.
    std::function<bool()> makeRoom = nullptr;
};

/// \brief Accept loop. While the process has no descriptor or memory for a connection, accepting
/// fails at once, so that the loop pauses between two tries.
class Acceptor
{
public:
    /// Time between two tries to accept while there is no room for a connection.
    static constexpr Duration RetryInterval = std::chrono::milliseconds(100);

    /// \param kernel provides the executor and the service directory.
    /// \param context runs the socket.
    /// \param listener name of the listener in log lines.
    /// \param handlers called until the acceptor is closed.
    Acceptor(Kernel &kernel, boost::asio::io_context &context, std::string listener,
             AcceptorHandlers handlers);
    ~Acceptor();
    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

    /// \brief Opens the socket and starts to accept.
    /// \param endpoint address and port to listen on.
    /// \return see listenOn().
    std::error_code listen(const Endpoint &endpoint);

    /// \brief Accepts all connections that are in the accept queue, without waiting.
    void acceptPending();

    /// \brief Tries to accept at once if the loop pauses.
    void resume();

    /// \brief Stops accepting and closes the socket.
    void close();

private:
    void acceptNext();
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void pause(std::string_view error);

    Kernel &m_kernel;
    std::string m_listener;
    AcceptorHandlers m_handlers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address<TelemetryMessage> m_telemetry;
    TimerId m_retryTimer = 0;
    /// True while the loop waits for the next try.
    bool m_waiting = false;
    /// True from the first failed try until a connection has been accepted.
    bool m_paused = false;
};

} // namespace Coltsfootwell::Internal
