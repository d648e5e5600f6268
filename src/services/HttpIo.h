// Utilities for sockets and complete HTTP messages, for clients and servers.
// Include only from .cpp files, since it includes Asio and Beast.
#pragma once

#include "services/Await.h"
#include "services/CallMessages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <string_view>

namespace Coltsfootwell::Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// \param name name of a header, in any case.
/// \return true if it is a hop-by-hop header, which must not be forwarded.
bool isHopByHopHeader(std::string_view name);

/// \param fields headers as decoded by Beast.
/// \return the end-to-end headers, which are forwarded; without content length and transfer
/// encoding.
std::vector<HeaderField> endToEndHeaders(const http::fields &fields);

/// \param version version of HTTP of the message, times ten.
/// \return true if its body has no transfer coding but "chunked". The parser skips other codings,
/// so that it takes a wrong end and wrong bytes for the body.
bool hasReadableBody(const http::fields &fields, unsigned version);

/// \brief Sets the options of a new connection: disables Nagle's algorithm and enables TCP
/// keep-alive and a user timeout, which detect a peer that vanished without closing the connection.
void configureSocket(tcp::socket &socket);

/// \brief Limits the bytes that the kernel holds without having sent them. Its buffer grows to
/// several megabytes otherwise, which no budget of this process counts.
void limitUnsentBytes(tcp::socket &socket);

/// \brief Closes a connection with a TCP reset, which discards unsent bytes in the kernel.
void resetSocket(tcp::socket &socket);

/// \return true if an error means that this process or host has no descriptor or memory for a
/// connection, which says nothing about the peer.
bool lacksResources(const boost::system::error_code &ec);

/// \return true if the connection is open and has no bytes to read.
bool isOpenAndIdle(tcp::socket &socket);

/// \return true if the peer has closed the connection or ended its sending side, even if bytes that
/// it sent before have not been read.
bool hasPeerClosed(tcp::socket &socket);

/// \brief Tells an answer without a length that was cut from one that ends with its connection.
/// \param parser has read the answer to its end.
/// \param socket connection of the answer, whose sending side this process has not ended.
/// \return true if the connection was reset, has timed out or was closed by this process.
bool isCutAnswer(const http::basic_parser<false> &parser, tcp::socket &socket);

/// \brief Lets a read buffer take long parts of a body while this object lives. Beast reads as many
/// bytes as the buffer has room for, which is 512 after a short header.
class BodyReadBuffer
{
public:
    /// \param buffer read buffer; must outlive this object.
    /// \param bodyBytes length of the body; its maximum length if that is not known.
    BodyReadBuffer(beast::flat_buffer &buffer, std::uint64_t bodyBytes);
    /// Returns the room, which idle connections do not need.
    ~BodyReadBuffer();
    BodyReadBuffer(const BodyReadBuffer &) = delete;
    BodyReadBuffer &operator=(const BodyReadBuffer &) = delete;

private:
    beast::flat_buffer &m_buffer;
    bool m_reserved = false;
};

/// \return the same text as a string view of Beast.
inline beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// \return the same text as a string view of the standard library.
inline std::string_view stdView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// \param message header and body; the header must contain the framing of the body.
/// \return the bytes of the message in one buffer, which is cheaper to write than the buffer
/// sequence of a Beast serializer.
template <bool IsRequest>
std::string serializeMessage(http::message<IsRequest, http::span_body<const char>> &message)
{
    std::string bytes;
    boost::system::error_code ec;
    http::serializer<IsRequest, http::span_body<const char>> serializer(message);
    while (!ec && !serializer.is_done()) {
        serializer.next(ec, [&](boost::system::error_code &, const auto &buffers) {
            const std::size_t n = beast::buffer_bytes(buffers);
            const std::size_t end = bytes.size();
            bytes.resize(end + n);
            asio::buffer_copy(asio::buffer(bytes.data() + end, n), buffers);
            serializer.consume(n);
        });
    }
    return bytes;
}

} // namespace Coltsfootwell::Internal
