// Writes to the connection of a caller. All bytes pass through one writer, so that none of them can
// land inside an answer that is being written. Long bodies are written from the buffer that the
// other services share.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/AnswerMessages.h"
#include "services/CallMessages.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Coltsfootwell::Internal {

/// \brief Writes answers one after the other.
class AnswerWriter
{
public:
    /// \param socket connection; must outlive the writer.
    /// \param onWritten called when everything has been written.
    /// \param onFailed called when the connection has failed.
    AnswerWriter(boost::asio::ip::tcp::socket &socket, std::function<void()> onWritten,
                 std::function<void()> onFailed);

    /// \brief Adds bytes after those of earlier calls. They are written after the next start().
    /// \param bytes bytes to write; not empty.
    /// \param body written after them, and held until then; may be null.
    /// \param held answer that is held until then.
    /// \param copiedBody body that is part of the bytes, and held until then; may be null.
    void add(std::string bytes, BodyPtr body = nullptr, const HeldAnswer &held = {},
             BodyPtr copiedBody = nullptr);

    /// \brief Writes all bytes that have been added.
    /// \param owner object that holds the writer and its socket, kept alive until they are written.
    void start(std::shared_ptr<void> owner);

    /// \return true while bytes are being written.
    bool isWriting() const { return m_writing; }

    /// \return true if enough bytes wait to be written, so that further answers are better added
    /// later.
    bool isFull() const { return m_addedBytes - m_totalWritten >= MaxQueuedBytes; }

    /// \return true if the caller has received bytes since the last call.
    bool takeProgress();

    /// \return number of bytes that the caller has received.
    std::uint64_t receivedBytes() const;

    /// \brief Calls a function with each answer that is held.
    void forEachHeld(const std::function<void(const HeldAnswer &)> &visit) const;

private:
    /// Number of bytes from which isFull().
    static constexpr std::size_t MaxQueuedBytes = 64 * 1024;

    /// Bytes and the body behind them, which are written in the same call.
    struct Part
    {
        std::string bytes;
        BodyPtr body;
        /// Answers that were added with the bytes.
        std::vector<HeldAnswer> held;
        std::vector<BodyPtr> copiedBodies;

        std::size_t size() const { return bytes.size() + (body ? body->size() : 0); }
    };

    /// \return what is left of the first part.
    std::array<boost::asio::const_buffer, 2> unwritten() const;
    void writeSome(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onWritten;
    std::function<void()> m_onFailed;
    std::deque<Part> m_parts;
    /// Number of bytes of the first part that have been written.
    std::size_t m_written = 0;
    bool m_writing = false;
    /// Number of bytes that have been added in total.
    std::uint64_t m_addedBytes = 0;
    /// Number of bytes that have been written to the socket in total.
    std::uint64_t m_totalWritten = 0;
    /// Number of bytes that the caller had received at the last call of takeProgress().
    std::uint64_t m_received = 0;
};

} // namespace Coltsfootwell::Internal
