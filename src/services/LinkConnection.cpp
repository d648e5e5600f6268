#include "services/LinkConnection.h"

#include "services/HttpIo.h"
#include "wire/LinkCodec.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

} // namespace

LinkConnection::LinkConnection(tcp::socket socket, Executor &executor,
                               std::shared_ptr<LinkTraffic> traffic)
    : m_socket(std::move(socket)), m_executor(executor), m_lastHeard(executor.now()),
      m_traffic(std::move(traffic))
{
    boost::system::error_code ec;
    const auto peer = m_socket.remote_endpoint(ec);
    m_peerAddress = ec ? std::string() : peer.address().to_string();
    configureSocket(m_socket);
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
    m_queued += bytes;
    if (m_writing.empty()) {
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
    const std::size_t held = m_in.size();
    m_in.resize(held + ReadBytes);
    m_socket.async_read_some(
        asio::buffer(m_in.data() + held, ReadBytes),
        [self = shared_from_this(), held](boost::system::error_code ec, std::size_t n) {
            self->m_in.resize(held + (ec ? 0 : n));
            if (ec) {
                self->fail();
                return;
            }
            self->m_lastHeard = self->m_executor.now();
            self->takeFrames();
            if (self->m_open) {
                self->read();
            }
        });
}

void LinkConnection::takeFrames()
{
    std::size_t taken = 0;
    std::error_code ec;
    while (m_open) {
        const std::string_view rest = std::string_view(m_in).substr(taken);
        const std::size_t size = completeFrameSize(rest, ec);
        if (ec || size == 0) {
            break;
        }
        LinkFrame frame = decodeFrame(rest.substr(FrameLengthBytes, size - FrameLengthBytes), ec);
        if (ec) {
            break;
        }
        taken += size;
        m_traffic->add(frame, size);
        // The handler may close the connection and with it the handler.
        const auto received = m_handlers.received;
        received(std::move(frame));
    }
    m_in.erase(0, taken);
    if (ec) {
        fail();
    }
}

void LinkConnection::write()
{
    m_writing = std::exchange(m_queued, {});
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                          self->m_writing.clear();
                          if (ec) {
                              self->fail();
                              return;
                          }
                          if (self->m_open && !self->m_queued.empty()) {
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
    handlers.closed();
}

} // namespace Coltsfootwell::Internal
