// One connection between two daemons: frames in both directions.
// Only for .cpp files: it includes Asio.
#pragma once

#include "kernel/Executor.h"
#include "services/LinkTraffic.h"
#include "wire/LinkFrame.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell::Internal {

/// \brief Events of a connection.
struct LinkHandlers
{
    std::function<void(LinkFrame)> received;
    /// Called once, unless close() was called before.
    std::function<void()> closed;
};

/// \brief Sends and receives frames until either side closes.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    /// \param socket connected.
    /// \param executor gives the time.
    /// \param traffic counts the bytes of all connections.
    LinkConnection(boost::asio::ip::tcp::socket socket, Executor &executor,
                   std::shared_ptr<LinkTraffic> traffic);

    /// \brief Begins to receive.
    void start(LinkHandlers handlers);

    /// \brief Queues a frame.
    void send(const LinkFrame &frame);

    /// \brief Drops the connection and all that is queued.
    void close();

    /// \return time of the last byte received, or of the start.
    TimePoint lastHeard() const { return m_lastHeard; }

    /// \return address of the other side.
    const std::string &peerAddress() const { return m_peerAddress; }

private:
    void read();
    void takeFrames();
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    Executor &m_executor;
    LinkHandlers m_handlers;
    std::string m_in;
    std::string m_queued;
    std::string m_writing;
    TimePoint m_lastHeard;
    std::shared_ptr<LinkTraffic> m_traffic;
    std::string m_peerAddress;
    bool m_open = true;
};

} // namespace Coltsfootwell::Internal
