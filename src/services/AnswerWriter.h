// Writes to the connection of a caller. All bytes pass through one writer, so that none of them can
// land inside an answer that is being written.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell::Internal {

/// \brief Writes strings one after the other.
class AnswerWriter
{
public:
    /// \param socket connection; must outlive the writer.
    /// \param onWritten called when everything has been written.
    /// \param onFailed called when the connection has failed.
    AnswerWriter(boost::asio::ip::tcp::socket &socket, std::function<void()> onWritten,
                 std::function<void()> onFailed);

    /// \brief Writes bytes after those of earlier calls.
    /// \param bytes bytes to write; not empty.
    /// \param owner object that holds the writer and its socket, kept alive until they are written.
    void write(std::string bytes, std::shared_ptr<void> owner);

    /// \return true while bytes are being written.
    bool isWriting() const { return m_writing; }

    /// \return true if the caller has received bytes since the last call.
    bool takeProgress();

private:
    void writeSome(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onWritten;
    std::function<void()> m_onFailed;
    std::string m_bytes;
    /// Number of bytes of m_bytes that have been written.
    std::size_t m_written = 0;
    /// Bytes of calls of write() while others were being written.
    std::string m_waiting;
    bool m_writing = false;
    /// Number of bytes that have been written to the socket in total.
    std::uint64_t m_totalWritten = 0;
    /// Number of bytes that the caller had received at the last call of takeProgress().
    std::uint64_t m_received = 0;
};

} // namespace Coltsfootwell::Internal
