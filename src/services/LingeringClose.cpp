#include "services/LingeringClose.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

/// Time for which input is still read and discarded after the last answer.
constexpr std::chrono::seconds LingerTimeout {1};

} // namespace

LingeringClose::LingeringClose(boost::asio::ip::tcp::socket &socket, Executor &executor)
    : m_socket(socket), m_executor(executor)
{
}

LingeringClose::~LingeringClose()
{
    m_executor.cancel(m_timer);
}

void LingeringClose::start()
{
    if (std::exchange(m_started, true)) {
        return;
    }
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (m_inputEnded) {
        closeNow();
        return;
    }
    m_socket.cancel(ec);
    m_timer = m_executor.scheduleAfter(LingerTimeout, [this] { closeNow(); });
}

void LingeringClose::inputEnded()
{
    m_inputEnded = true;
    if (m_started) {
        closeNow();
    }
}

void LingeringClose::closeNow()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

} // namespace Coltsfootwell::Internal
