// Uploads that are still being written when their server answers, for tests of answers that are
// cut.
#pragma once

#include <boost/asio.hpp>

#include <cstddef>

namespace Coltsfootwell::Testing {

/// Longer than what the buffers of a connection hold, so that the end of an upload is written only
/// if the server reads on.
constexpr std::size_t UploadBytes = 16 << 20;
/// Part of an upload that the server reads before it answers.
constexpr std::size_t ReadBytes = 2000;

/// \return an acceptor whose connections hold little of an upload that their server does not read.
inline boost::asio::ip::tcp::acceptor listenWithSmallBuffer(boost::asio::io_context &context)
{
    constexpr int ReceiveBufferBytes = 64 * 1024;
    boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
    acceptor.set_option(boost::asio::ip::tcp::socket::receive_buffer_size(ReceiveBufferBytes));
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    return acceptor;
}

/// \brief Closes a connection by a reset.
inline void resetConnection(boost::asio::ip::tcp::socket &socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

} // namespace Coltsfootwell::Testing
