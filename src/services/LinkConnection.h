// One connection between two daemons, which carries frames in both directions.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "kernel/Executor.h"
#include "services/LinkTraffic.h"
#include "wire/LinkFrame.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell::Internal {

/// \brief Callbacks of a connection.
struct LinkHandlers
{
    /// Called for each received frame.
    std::function<void(LinkFrame)> onFrame;
    /// Called once when the connection fails or the peer closes it; not called after close().
    std::function<void()> onClosed;
    /// Called when everything that was enqueued has been written; may be empty.
    std::function<void()> onWritten = {};
};

/// \brief Sends and receives frames until either side closes the connection.
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    /// \param socket connected socket.
    /// \param executor provides the time.
    /// \param traffic byte counters of all connections.
    LinkConnection(boost::asio::ip::tcp::socket socket, Executor &executor,
                   std::shared_ptr<LinkTraffic> traffic);

    /// \brief Starts receiving.
    void start(LinkHandlers handlers);

    /// \brief Sets where the frames are counted that are sent from now on.
    void setDestination(LinkDestination destination) { m_destination = destination; }

    /// \brief Enqueues a frame; without effect after the connection has closed.
    void send(const LinkFrame &frame);

    /// \brief Resets the connection and discards enqueued frames.
    void close();

    /// \return number of bytes that wait to be written.
    std::size_t queuedBytes() const { return m_outbound.size() + m_writeBuffer.size(); }

    /// \return time of the last received byte, or of the construction if there is none.
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }

    /// \return IP address of the peer; empty if it could not be determined.
    const std::string &peerAddress() const { return m_peerAddress; }

private:
    void read();
    void processFrames();
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    Executor &m_executor;
    LinkHandlers m_handlers;
    /// Received bytes that do not form a complete frame yet.
    std::string m_inbound;
    /// Encoded frames that wait for the write in progress to end.
    std::string m_outbound;
    /// Bytes of the write in progress; empty if there is none.
    std::string m_writeBuffer;
    TimePoint m_lastReceivedAt;
    std::shared_ptr<LinkTraffic> m_traffic;
    LinkDestination m_destination = LinkDestination::Unknown;
    std::string m_peerAddress;
    bool m_open = true;
};

} // namespace Coltsfootwell::Internal
