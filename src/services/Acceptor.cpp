#include "services/Acceptor.h"

#include "services/Listen.h"
#include "services/LogOutput.h"
#include "services/ServiceNames.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

using boost::asio::ip::tcp;

} // namespace

Acceptor::Acceptor(Kernel &kernel, boost::asio::io_context &context, std::string listener,
                   AcceptorHandlers handlers)
    : m_kernel(kernel), m_listener(std::move(listener)), m_handlers(std::move(handlers)),
      m_acceptor(context)
{
}

Acceptor::~Acceptor()
{
    m_kernel.executor().cancel(m_retryTimer);
}

std::error_code Acceptor::listen(const Endpoint &endpoint)
{
    if (const std::error_code ec = listenOn(m_acceptor, endpoint)) {
        return ec;
    }
    std::error_code ignored;
    m_telemetry = m_kernel.directory().find<TelemetryMessage>(ServiceName::Telemetry, ignored);
    accept();
    return {};
}

void Acceptor::acceptPending()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec) {
            m_handlers.onAccepted(std::move(socket));
        }
    }
}

void Acceptor::resume()
{
    if (m_waiting) {
        m_kernel.executor().cancel(m_retryTimer);
        m_waiting = false;
        acceptNext();
    }
}

void Acceptor::close()
{
    m_kernel.executor().cancel(m_retryTimer);
    m_waiting = false;
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void Acceptor::acceptNext()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    if (m_handlers.makeRoom && !m_handlers.makeRoom()) {
        pause("connection-limit");
    } else {
        accept();
    }
}

void Acceptor::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (ec) {
            // Asio itself goes on after a connection that was aborted in the queue. Any other error
            // is likely to occur again at once.
            pause(ec.message());
            return;
        }
        try {
            serve(std::move(socket));
        } catch (...) {
            // The loop must go on although the exception leaves the handler.
            acceptNext();
            throw;
        }
        acceptNext();
    });
}

void Acceptor::serve(tcp::socket socket)
{
    if (std::exchange(m_paused, false)) {
        m_telemetry.send(LogEvent {"accept.resumed", "", "listener=" + m_listener});
    }
    m_handlers.onAccepted(std::move(socket));
}

void Acceptor::pause(std::string_view error)
{
    if (!std::exchange(m_paused, true)) {
        m_telemetry.send(
            LogEvent {"accept.paused", "", "listener=" + m_listener + " error=" + logValue(error)});
    }
    m_waiting = true;
    m_retryTimer = m_kernel.executor().scheduleAfter(RetryInterval, [this] {
        m_waiting = false;
        acceptNext();
    });
}

} // namespace Coltsfootwell::Internal
