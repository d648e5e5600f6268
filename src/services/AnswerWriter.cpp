#include "services/AnswerWriter.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Coltsfootwell::Internal {

AnswerWriter::AnswerWriter(boost::asio::ip::tcp::socket &socket, std::function<void()> onWritten,
                           std::function<void()> onFailed)
    : m_socket(socket), m_onWritten(std::move(onWritten)), m_onFailed(std::move(onFailed))
{
}

void AnswerWriter::add(std::string bytes, BodyPtr body, const HeldAnswer &held, BodyPtr copiedBody)
{
    m_addedBytes += bytes.size() + (body ? body->size() : 0);
    // Short answers become one part, which is written in one call. A part that is being written
    // must not change.
    const bool extend = m_parts.size() > (m_writing ? 1U : 0U) && m_parts.back().body == nullptr;
    if (extend) {
        m_parts.back().bytes += bytes;
        m_parts.back().body = std::move(body);
    } else {
        m_parts.push_back({std::move(bytes), std::move(body), {}, {}});
    }
    if (held.bytes > 0) {
        m_parts.back().held.push_back(held);
    }
    if (copiedBody) {
        m_parts.back().copiedBodies.push_back(std::move(copiedBody));
    }
}

void AnswerWriter::start(std::shared_ptr<void> owner)
{
    if (!m_writing && !m_parts.empty()) {
        m_writing = true;
        writeSome(std::move(owner));
    }
}

bool AnswerWriter::takeProgress()
{
    const std::uint64_t received = receivedBytes();
    return std::exchange(m_received, received) != received;
}

std::uint64_t AnswerWriter::receivedBytes() const
{
    // The socket takes more only after much of its buffer is free, which can take a slow caller
    // longer than a timeout; so the bytes in the buffer count as well.
    int unsent = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &unsent) != 0) {
        unsent = 0;
    }
    return m_totalWritten - static_cast<std::uint64_t>(unsent);
}

void AnswerWriter::forEachHeld(const std::function<void(const HeldAnswer &)> &visit) const
{
    for (const Part &part : m_parts) {
        for (const HeldAnswer &held : part.held) {
            visit(held);
        }
    }
}

std::array<boost::asio::const_buffer, 2> AnswerWriter::unwritten() const
{
    const Part &part = m_parts.front();
    const std::string_view body = part.body ? std::string_view(*part.body) : std::string_view();
    const std::size_t bytes = std::min(m_written, part.bytes.size());
    return {boost::asio::buffer(part.bytes) + bytes,
            boost::asio::buffer(body) + (m_written - bytes)};
}

void AnswerWriter::writeSome(std::shared_ptr<void> owner)
{
    m_socket.async_write_some(
        unwritten(),
        [this, owner = std::move(owner)](boost::system::error_code ec, std::size_t n) mutable {
            // To end a read, all operations on the socket are cancelled. A cancelled write has
            // written nothing and goes on.
            const bool cancelled = ec == boost::asio::error::operation_aborted;
            if (ec && !(cancelled && m_socket.is_open())) {
                m_parts.clear();
                m_writing = false;
                m_onFailed();
                return;
            }
            m_written += n;
            m_totalWritten += n;
            if (m_written == m_parts.front().size()) {
                m_parts.pop_front();
                m_written = 0;
            }
            if (!m_parts.empty()) {
                writeSome(std::move(owner));
                return;
            }
            m_writing = false;
            m_onWritten();
        });
}

} // namespace Coltsfootwell::Internal
