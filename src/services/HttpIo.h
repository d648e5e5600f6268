// Reading and writing of whole HTTP messages; used by both sides of a connection.
// Only for .cpp files: it includes Beast.
#pragma once

#include "services/Await.h"
#include "services/CallMessages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string_view>

namespace Coltsfootwell::Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// \param name name of a header.
/// \return true when it belongs to one connection and is not passed on.
bool isHopByHopHeader(std::string_view name);

/// \param fields decoded by Beast.
/// \return all headers that are passed on, without lengths and encodings.
std::vector<HeaderField> endToEndHeaders(const http::fields &fields);

/// \brief Sets up a new connection: no delay of small writes, and keep-alive probes that notice a
/// peer that has gone without a word.
void configureSocket(tcp::socket &socket);

/// \brief Closes a connection so that bytes still queued in the kernel are dropped.
void resetSocket(tcp::socket &socket);

/// \return true when an idle connection is open and has nothing to read.
bool isOpenAndIdle(tcp::socket &socket);

/// \param text any text.
/// \return the same for Beast.
inline beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// \param text of Beast.
inline std::string_view stdView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// \param message header and body with its length set.
/// \return its bytes on the wire. One buffer costs less than the many that Beast hands to a socket.
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
