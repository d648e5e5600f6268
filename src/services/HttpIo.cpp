#include "services/HttpIo.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <array>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum time in ms for which sent bytes may stay unacknowledged before the connection fails.
constexpr int UserTimeoutMs = 3000;
/// Idle time in seconds before the first TCP keep-alive probe.
constexpr int KeepAliveIdleS = 3;
/// Interval in seconds between TCP keep-alive probes.
constexpr int KeepAliveIntervalS = 1;
/// Number of unanswered TCP keep-alive probes after which the connection fails.
constexpr int KeepAliveProbeCount = 3;

/// See limitUnsentBytes().
constexpr int MaxUnsentBytes = 64 * 1024;

/// Room for the body in a read buffer; Beast reads no more at a time.
constexpr std::size_t BodyReadBytes = 64 * 1024;

void setTcpOption(tcp::socket &socket, int option, int value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
}

/// The kernel reports the failure of a connection to one operation only. If that was a write, the
/// next read sees an orderly end.
bool hasFailed(tcp::socket &socket)
{
    if (!socket.is_open()) {
        return true;
    }
    // POLLHUP, which poll() always reports, means that both directions have ended. An orderly end
    // by the peer ends one of them.
    pollfd state {socket.native_handle(), 0, 0};
    return ::poll(&state, 1, 0) > 0;
}

} // namespace

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> Names {"connection",
                                                             "keep-alive",
                                                             "proxy-connection",
                                                             "transfer-encoding",
                                                             "te",
                                                             "trailer",
                                                             "upgrade",
                                                             "expect",
                                                             "content-length",
                                                             "proxy-authenticate",
                                                             "proxy-authorization"};
    return std::ranges::any_of(
        Names, [name](std::string_view hop) { return equalHeaderNames(hop, name); });
}

std::vector<HeaderField> endToEndHeaders(const http::fields &fields)
{
    std::vector<HeaderField> headers;
    for (const auto &field : fields) {
        const std::string_view name = stdView(field.name_string());
        if (!isHopByHopHeader(name)) {
            headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    return headers;
}

bool hasReadableBody(const http::fields &fields, unsigned version)
{
    // HTTP/1.0 has no transfer codings, so that its chunks may be the body itself.
    constexpr unsigned FirstVersionWithCodings = 11;
    const bool hasCodings = version >= FirstVersionWithCodings;
    return std::ranges::all_of(fields, [hasCodings](const auto &field) {
        return field.name() != http::field::transfer_encoding
            || (hasCodings && equalHeaderNames(stdView(field.value()), "chunked"));
    });
}

void configureSocket(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    setTcpOption(socket, TCP_USER_TIMEOUT, UserTimeoutMs);
    setTcpOption(socket, TCP_KEEPIDLE, KeepAliveIdleS);
    setTcpOption(socket, TCP_KEEPINTVL, KeepAliveIntervalS);
    setTcpOption(socket, TCP_KEEPCNT, KeepAliveProbeCount);
}

void limitUnsentBytes(tcp::socket &socket)
{
    setTcpOption(socket, TCP_NOTSENT_LOWAT, MaxUnsentBytes);
}

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

bool lacksResources(const boost::system::error_code &ec)
{
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system
        || ec == errc::no_buffer_space || ec == errc::not_enough_memory;
}

bool isOpenAndIdle(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
}

bool hasPeerClosed(tcp::socket &socket)
{
    pollfd state {socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

bool isCutAnswer(const http::basic_parser<false> &parser, tcp::socket &socket)
{
    return parser.need_eof() && hasFailed(socket);
}

BodyReadBuffer::BodyReadBuffer(beast::flat_buffer &buffer, std::uint64_t bodyBytes)
    : m_buffer(buffer)
{
    const auto room = std::size_t(std::min<std::uint64_t>(bodyBytes, BodyReadBytes));
    if (room > m_buffer.capacity()) {
        m_buffer.reserve(room);
        m_reserved = true;
    }
}

BodyReadBuffer::~BodyReadBuffer()
{
    if (m_reserved) {
        m_buffer.shrink_to_fit();
    }
}

} // namespace Coltsfootwell::Internal
