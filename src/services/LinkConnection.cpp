#include "services/LinkConnection.h"

#include "services/HttpIo.h"
#include "wire/LinkCodec.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum number of bytes per read.
constexpr std::size_t MaxReadBytes = 16 * 1024;
} // namespace

LinkConnection::LinkConnection(tcp::socket socket, Executor &executor,
                               std::shared_ptr<LinkTraffic> traffic)
    : m_socket(std::move(socket)), m_executor(executor), m_lastReceivedAt(executor.now()),
      m_traffic(std::move(traffic))
{
    boost::system::error_code ec;
    const auto peer = m_socket.remote_endpoint(ec);
    m_peerAddress = ec ? std::string() : peer.address().to_string();
    configureSocket(m_socket);
    // Small frames would wait behind the parts of long bodies in the kernel.
    limitUnsentBytes(m_socket);
}

void LinkConnection::start(LinkHandlers handlers)
{
    m_handlers = std::move(handlers);
    read();
}

void LinkConnection::send(const LinkFrame &frame)
{
    if (!m_open) {
        return;
    }
    const std::string bytes = encodeFrame(frame);
    m_traffic->add(frame, bytes.size());
    m_traffic->addSent(m_destination, bytes.size());
    m_outbound += bytes;
    if (m_writeBuffer.empty()) {
        write();
    }
}

void LinkConnection::close()
{
    if (std::exchange(m_open, false)) {
        m_handlers = {};
        resetSocket(m_socket);
    }
}

void LinkConnection::read()
{
    const std::size_t buffered = m_inbound.size();
    m_inbound.resize(buffered + MaxReadBytes);
    m_socket.async_read_some(
        asio::buffer(m_inbound.data() + buffered, MaxReadBytes),
        [self = shared_from_this(), buffered](boost::system::error_code ec, std::size_t n) {
            self->m_inbound.resize(buffered + (ec ? 0 : n));
            if (ec) {
                self->fail();
                return;
            }
            self->m_lastReceivedAt = self->m_executor.now();
            try {
                self->processFrames();
            } catch (...) {
                // Nothing would be read any more. The peer asks for its attempts over the next
                // connection.
                self->fail();
                throw;
            }
            if (self->m_open) {
                self->read();
            }
        });
}

void LinkConnection::processFrames()
{
    std::size_t consumed = 0;
    std::error_code ec;
    while (m_open) {
        const std::string_view rest = std::string_view(m_inbound).substr(consumed);
        const std::size_t size = completeFrameSize(rest, ec);
        if (ec || size == 0) {
            break;
        }
        LinkFrame frame = decodeFrame(rest.substr(FrameLengthBytes, size - FrameLengthBytes), ec);
        if (ec) {
            break;
        }
        consumed += size;
        m_traffic->add(frame, size);
        // The handler can close the connection, which destroys m_handlers, so it is copied first.
        const auto onFrame = m_handlers.onFrame;
        onFrame(std::move(frame));
    }
    m_inbound.erase(0, consumed);
    if (ec) {
        fail();
    }
}

void LinkConnection::write()
{
    m_writeBuffer = std::exchange(m_outbound, {});
    asio::async_write(
        m_socket, asio::buffer(m_writeBuffer),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            self->m_writeBuffer.clear();
            if (ec) {
                self->fail();
                return;
            }
            if (self->m_open && self->m_outbound.empty() && self->m_handlers.onWritten) {
                // The handler can close the connection, which destroys m_handlers.
                const auto onWritten = self->m_handlers.onWritten;
                onWritten();
            }
            if (self->m_open && self->m_writeBuffer.empty() && !self->m_outbound.empty()) {
                self->write();
            }
        });
}

void LinkConnection::fail()
{
    if (!std::exchange(m_open, false)) {
        return;
    }
    resetSocket(m_socket);
    const LinkHandlers handlers = std::exchange(m_handlers, {});
    handlers.onClosed();
}

} // namespace Coltsfootwell::Internal
