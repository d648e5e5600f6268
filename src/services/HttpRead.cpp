#include "services/HttpRead.h"

#include "services/ServiceError.h"

#include <new>
#include <stdexcept>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum number of bytes that are read at a time.
constexpr std::size_t MaxReadBytes = 64 * 1024;

/// Number of bytes from the header of a chunk to the end of the shortest message, "0\r\n\r\n".
constexpr std::size_t MinLastChunkBytes = 5;

/// \param step returns an error code.
/// \return its result, or the error that stands for its exception.
template <typename Step>
boost::system::error_code errorOf(Step step)
{
    try {
        return step();
    } catch (const std::length_error &) {
        return std::error_code(ServiceError::FieldTooLong);
    } catch (const std::bad_alloc &) {
        return asio::error::no_memory;
    } catch (const std::exception &) {
        return std::error_code(ServiceError::UnreadableMessage);
    }
}

} // namespace

asio::mutable_buffer prepareRead(beast::flat_buffer &buffer, boost::system::error_code &ec)
{
    asio::mutable_buffer room;
    ec = errorOf([&buffer, &room] {
        room = buffer.prepare(beast::read_size(buffer, MaxReadBytes));
        return room.size() > 0 ? boost::system::error_code()
                               : boost::system::error_code(http::error::buffer_overflow);
    });
    return room;
}

template <bool IsRequest>
boost::system::error_code parseReceived(beast::flat_buffer &buffer,
                                        http::basic_parser<IsRequest> &parser)
{
    return errorOf([&buffer, &parser] {
        boost::system::error_code ec;
        buffer.consume(parser.put(buffer.cdata(), ec));
        return ec;
    });
}

template <bool IsRequest>
boost::system::error_code parseEnd(http::basic_parser<IsRequest> &parser)
{
    if (!parser.got_some()) {
        return http::error::end_of_stream;
    }
    return errorOf([&parser] {
        boost::system::error_code ec;
        parser.put_eof(ec);
        return ec;
    });
}

template <bool IsRequest>
std::size_t minBytesForRetry(const http::basic_parser<IsRequest> &parser)
{
    // The parser asserts, and ends the process, if it is called with the first three bytes of a
    // last chunk and then with one more. More bytes follow the header of any chunk.
    return parser.is_header_done() && parser.chunked() ? MinLastChunkBytes : 1;
}

template boost::system::error_code parseReceived(beast::flat_buffer &, http::basic_parser<true> &);
template boost::system::error_code parseReceived(beast::flat_buffer &, http::basic_parser<false> &);
template boost::system::error_code parseEnd(http::basic_parser<true> &);
template boost::system::error_code parseEnd(http::basic_parser<false> &);
template std::size_t minBytesForRetry(const http::basic_parser<true> &);
template std::size_t minBytesForRetry(const http::basic_parser<false> &);

} // namespace Coltsfootwell::Internal
