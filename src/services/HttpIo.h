// Moves HTTP bodies between sockets and body pipes; used by both sides of a connection.
// Only for .cpp files: it includes Beast.
#pragma once

#include "services/Await.h"
#include "services/CallMessages.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <string_view>

namespace Coltsfootwell::Internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t BodyBufferBytes = 64 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 32 * 1024;

/// \param name name of a header.
/// \return true when it belongs to one connection and is not passed on.
bool isHopHeader(std::string_view name);

/// \param fields decoded by Beast.
/// \return all headers that are passed on, without lengths and encodings.
std::vector<HeaderField> passedHeaders(const http::fields &fields);

/// \brief Closes a connection so that bytes still queued in the kernel are dropped.
/// \param stream reset and closed.
void resetStream(beast::tcp_stream &stream);

/// \param left rest of the body, when its length is known.
/// \return bytes to make room for, at least one and at most BodyBufferBytes.
std::size_t bodyBytesWanted(boost::optional<std::uint64_t> left);

/// \brief Reads the rest of a body into a pipe and ends the pipe.
/// \param stream socket, with a time limit for each step.
/// \param buffer bytes read already.
/// \param parser has its header.
/// \param pipe gets the bytes.
/// \param progress longest time without a byte.
/// \param ec error of the socket or the format.
/// \return true when the body is whole and was accepted.
template <bool IsRequest>
asio::awaitable<bool> pumpBody(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                               http::parser<IsRequest, http::buffer_body> &parser, BodyPipe &pipe,
                               Duration progress, boost::system::error_code &ec)
{
    std::string chunk;
    ec = {};
    while (!parser.is_done()) {
        // Most bodies are short, and 64 KiB cleared for each cost more time than reading them; held
        // by each idle connection, they were most of its memory.
        const std::size_t wanted = bodyBytesWanted(parser.content_length_remaining());
        if (buffer.size() < wanted) {
            // Beast reads no more at once than the buffer can hold, which may be 512 bytes.
            buffer.reserve(wanted);
        }
        chunk.resize(wanted);
        auto &body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = true;
        stream.expires_after(progress);
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer) {
            ec = {};
        }
        chunk.resize(chunk.size() - body.size);
        if (!ec && !chunk.empty()) {
            const bool open = co_await writeChunk(pipe, std::move(chunk));
            chunk.clear();
            if (!open) {
                ec = asio::error::operation_aborted;
            }
        }
        if (ec) {
            pipe.cut();
            co_return false;
        }
    }
    pipe.finish();
    co_return true;
}

/// \brief Writes a message with a held body.
/// \param stream socket, with a time limit set.
/// \param message header with its length set, and the body.
/// \param ec error of the socket.
template <bool IsRequest>
asio::awaitable<void> writeHeld(beast::tcp_stream &stream,
                                http::message<IsRequest, http::span_body<const char>> &message,
                                boost::system::error_code &ec)
{
    // Beast hands each header field to the socket as buffers of its own and walks through all of
    // them several times for each write, which costs more than one copy of a short message.
    std::string bytes;
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
    if (!ec) {
        co_await asio::async_write(stream, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// \brief Writes a message whose body comes from a pipe.
/// \param stream socket, with a time limit for each step.
/// \param message header with its length or chunked encoding set.
/// \param first chunk that was read already.
/// \param pipe the rest.
/// \param progress longest time without progress.
/// \param ec error of the socket; operation_aborted when the pipe was cut.
template <bool IsRequest>
asio::awaitable<void> writeFromPipe(beast::tcp_stream &stream,
                                    http::message<IsRequest, http::buffer_body> &message,
                                    BodyChunk first, BodyPipe &pipe, Duration progress,
                                    boost::system::error_code &ec)
{
    http::serializer<IsRequest, http::buffer_body> serializer(message);
    message.body().data = nullptr;
    message.body().size = 0;
    message.body().more = true;
    BodyChunk chunk = std::move(first);
    while (true) {
        if (chunk.kind == BodyChunk::Kind::Cut) {
            ec = asio::error::operation_aborted;
            co_return;
        }
        const bool more = chunk.kind == BodyChunk::Kind::Bytes;
        message.body().data = more ? chunk.bytes.data() : nullptr;
        message.body().size = chunk.bytes.size();
        message.body().more = more;
        stream.expires_after(progress);
        co_await http::async_write(stream, serializer,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer) {
            ec = {};
        }
        if (ec || !more) {
            co_return;
        }
        chunk = co_await readChunk(pipe);
    }
}

} // namespace Coltsfootwell::Internal
