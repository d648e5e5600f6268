// Reads HTTP messages with the parser of Beast. Unlike the read functions of Beast, a message that
// the parser cannot take ends the read with an error: an exception in a handler of Beast's own
// operations would end the process. Include only from .cpp files, since it includes Asio and Beast.
#pragma once

#include "services/HttpIo.h"

#include <boost/asio/post.hpp>

namespace Coltsfootwell::Internal {

/// \brief Makes room for the next read of a message.
/// \param buffer read buffer.
/// \param ec receives the error if there is no room.
/// \return the room behind the received bytes.
asio::mutable_buffer prepareRead(beast::flat_buffer &buffer, boost::system::error_code &ec);

/// \brief Passes received bytes to a parser and removes those that it has taken.
/// \param buffer received bytes, at least one.
/// \return ServiceError::FieldTooLong if a field exceeds what the parser can hold,
/// ServiceError::UnreadableMessage after any other exception, asio::error::no_memory if there is no
/// memory for the message, or the error of the parser; http::error::need_more if the bytes are not
/// enough for it.
template <bool IsRequest>
boost::system::error_code parseReceived(beast::flat_buffer &buffer,
                                        http::basic_parser<IsRequest> &parser);

/// \brief Tells a parser that no more bytes arrive.
/// \return as parseReceived(); http::error::end_of_stream if the message has not begun,
/// http::error::partial_message if it is not complete.
template <bool IsRequest>
boost::system::error_code parseEnd(http::basic_parser<IsRequest> &parser);

/// \param parser needs more bytes than were passed to it.
/// \return the number of received bytes from which the parser is called again.
template <bool IsRequest>
std::size_t minBytesForRetry(const http::basic_parser<IsRequest> &parser);

/// \brief Reads until the parser has made progress, like http::async_read_some().
/// \param stream connection; must outlive the read, as the other arguments.
/// \param buffer bytes that were received and not yet parsed.
/// \param parser parser of a message that is not complete.
/// \return the error of the connection, or one of parseReceived() or parseEnd().
template <typename Stream, bool IsRequest>
asio::awaitable<boost::system::error_code> readSome(Stream &stream, beast::flat_buffer &buffer,
                                                    http::basic_parser<IsRequest> &parser)
{
    boost::system::error_code ec = http::error::need_more;
    std::size_t minBytes = 1;
    bool hasRead = false;
    while (true) {
        if (buffer.size() >= minBytes) {
            ec = parseReceived(buffer, parser);
            minBytes = minBytesForRetry(parser);
        }
        if (ec != http::error::need_more) {
            break;
        }
        const asio::mutable_buffer room = prepareRead(buffer, ec);
        if (ec) {
            break;
        }
        hasRead = true;
        const std::size_t n
            = co_await stream.async_read_some(room, asio::redirect_error(asio::use_awaitable, ec));
        buffer.commit(n);
        if (ec) {
            ec = ec == asio::error::eof ? parseEnd(parser) : ec;
            break;
        }
        ec = http::error::need_more;
    }
    if (!hasRead) {
        // Other tasks run before the next step of a message whose bytes are all there.
        co_await asio::post(stream.get_executor(), asio::use_awaitable);
    }
    co_return ec;
}

/// \brief Reads the header of a message, like http::async_read_header().
/// \return see readSome().
template <typename Stream, bool IsRequest>
asio::awaitable<boost::system::error_code> readHeader(Stream &stream, beast::flat_buffer &buffer,
                                                      http::basic_parser<IsRequest> &parser)
{
    boost::system::error_code ec;
    parser.eager(false);
    while (!ec && !parser.is_header_done()) {
        ec = co_await readSome(stream, buffer, parser);
    }
    co_return ec;
}

/// \brief Reads a whole message, like http::async_read().
/// \return see readSome().
template <typename Stream, bool IsRequest>
asio::awaitable<boost::system::error_code> readMessage(Stream &stream, beast::flat_buffer &buffer,
                                                       http::basic_parser<IsRequest> &parser)
{
    boost::system::error_code ec;
    parser.eager(true);
    while (!ec && !parser.is_done()) {
        ec = co_await readSome(stream, buffer, parser);
    }
    co_return ec;
}

} // namespace Coltsfootwell::Internal
