// Closes a connection behind its last answer. Closing a socket with unread input resets the
// connection, which can destroy an answer in transit.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "kernel/Executor.h"

#include <boost/asio/ip/tcp.hpp>

namespace Coltsfootwell::Internal {

/// \brief Ends the sending side of a connection and closes it when its input has ended, or after a
/// timeout.
class LingeringClose
{
public:
    /// \param socket connection; must outlive this object.
    /// \param executor runs the timer; must outlive this object.
    LingeringClose(boost::asio::ip::tcp::socket &socket, Executor &executor);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

    /// \brief Ends the sending side and the read in progress. From then on, the owner must read and
    /// discard input.
    void start();

    /// \brief Notes that the peer sends no more.
    void inputEnded();

    /// \brief Closes the connection at once.
    void closeNow();

    /// \return true if the sending side has ended.
    bool isStarted() const { return m_started; }

private:
    boost::asio::ip::tcp::socket &m_socket;
    Executor &m_executor;
    TimerId m_timer = 0;
    bool m_started = false;
    bool m_inputEnded = false;
};

} // namespace Coltsfootwell::Internal
