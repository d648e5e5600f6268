#include "services/AnswerWriter.h"

#include <boost/asio/buffer.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <utility>

namespace Coltsfootwell::Internal {

AnswerWriter::AnswerWriter(boost::asio::ip::tcp::socket &socket, std::function<void()> onWritten,
                           std::function<void()> onFailed)
    : m_socket(socket), m_onWritten(std::move(onWritten)), m_onFailed(std::move(onFailed))
{
}

void AnswerWriter::write(std::string bytes, std::shared_ptr<void> owner)
{
    if (m_writing) {
        m_waiting += bytes;
        return;
    }
    m_bytes = std::move(bytes);
    m_written = 0;
    m_writing = true;
    writeSome(std::move(owner));
}

bool AnswerWriter::takeProgress()
{
    // The socket takes more only after much of its buffer is free, which can take a slow caller
    // longer than a timeout; so the bytes in the buffer count as well.
    int unsent = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &unsent) != 0) {
        unsent = 0;
    }
    const std::uint64_t received = m_totalWritten - static_cast<std::uint64_t>(unsent);
    return std::exchange(m_received, received) != received;
}

void AnswerWriter::writeSome(std::shared_ptr<void> owner)
{
    m_socket.async_write_some(
        boost::asio::buffer(m_bytes.data() + m_written, m_bytes.size() - m_written),
        [this, owner = std::move(owner)](boost::system::error_code ec, std::size_t n) mutable {
            // To end a read, all operations on the socket are cancelled. A cancelled write has
            // written nothing and goes on.
            const bool cancelled = ec == boost::asio::error::operation_aborted;
            if (ec && !(cancelled && m_socket.is_open())) {
                m_writing = false;
                m_onFailed();
                return;
            }
            m_written += n;
            m_totalWritten += n;
            if (m_written < m_bytes.size()) {
                writeSome(std::move(owner));
                return;
            }
            m_bytes = {};
            m_writing = false;
            if (!m_waiting.empty()) {
                write(std::exchange(m_waiting, {}), std::move(owner));
                return;
            }
            m_onWritten();
        });
}

} // namespace Coltsfootwell::Internal
