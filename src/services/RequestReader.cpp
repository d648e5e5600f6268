#include "services/RequestReader.h"

#include "services/HttpRead.h"
#include "services/ServiceError.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum time for which a request waits for memory. A caller that may repeat its request does so
/// after a second without progress.
constexpr std::chrono::milliseconds MaxMemoryWait {500};
/// Maximum number of bytes per read of a header, and minimum of a body in chunks.
constexpr std::size_t HeaderReadBytes = 4 * 1024;
/// Size up to which unparsed bytes of a connection are not counted as memory of its request.
constexpr std::size_t MaxUncountedBytes = HeaderReadBytes;
/// First size of a body's buffer. It grows by doubling up to RequestBudget::MaxShortBodyBytes, and
/// then at once to the announced length.
constexpr std::size_t FirstBodyBytes = 16 * 1024;
/// Memory of a request and its call beside header and body.
constexpr std::size_t RequestOverheadBytes = 2 * 1024;
/// Maximum length of the extensions of a chunk, and of the last chunk with all trailers, if the
/// limit of headers is lower.
constexpr std::uint64_t MaxTrailerBytes = 64 * 1024;
/// Interval between checks whether the caller has left, while nothing is read from its connection.
/// Its calls must be cancelled within half a second.
constexpr std::chrono::milliseconds LeaveCheckInterval {100};

/// \return memory that a header takes, which is decoded for the call and encoded for its run.
std::size_t headerMemory(const http::request<GrowingBody> &message)
{
    constexpr std::size_t Copies = 2;
    std::size_t bytes = message.target().size();
    for (const auto &field : message) {
        bytes += sizeof(HeaderField) + field.name_string().size() + field.value().size();
    }
    return RequestOverheadBytes + Copies * bytes;
}

/// \param length announced length; empty if there is none.
/// \param maxBytes maximum length of the body.
/// \param neededBytes number of bytes for which there must be room.
/// \return size to which a body's buffer grows.
std::size_t nextBodySize(std::size_t size, std::size_t neededBytes,
                         const boost::optional<std::uint64_t> &length, std::size_t maxBytes)
{
    const std::size_t next = std::max({FirstBodyBytes, 2 * size, neededBytes});
    // Bodies that have begun to flow must not wait for each other's next part.
    const bool isWhole = length && next > RequestBudget::MaxShortBodyBytes;
    return isWhole ? maxBytes : std::min(next, maxBytes);
}

} // namespace

RequestReader::RequestReader(tcp::socket &socket, SessionContext &context,
                             RequestReaderHandlers handlers)
    : m_socket(socket), m_context(context), m_handlers(std::move(handlers)),
      m_wakeup(socket.get_executor())
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
}

RequestReader::~RequestReader()
{
    stopTimer();
}

asio::awaitable<boost::system::error_code> RequestReader::read(ReceivedRequest &request,
                                                               Duration firstByteTimeout)
{
    Parser parser;
    constexpr std::uint64_t MaxHeaderLimit = std::numeric_limits<std::uint32_t>::max();
    parser.header_limit(
        static_cast<std::uint32_t>(std::min(m_context.limits.headerBytes, MaxHeaderLimit)));
    parser.body_limit(m_context.limits.bodyBytes);
    m_wasGivenUp = false;
    boost::system::error_code ec = co_await readHeader(parser, firstByteTimeout);
    if (!ec && !parser.is_done()) {
        armTimer(m_context.limits.idleTimeout);
        ec = co_await readBody(parser);
    }
    stopTimer();
    if (!ec) {
        m_phase = Phase::Idle;
        request.reservation = completeRequest(parser);
    } else {
        m_unfinished.reset();
    }
    auto message = parser.release();
    request.message
        = http::request<http::string_body>(std::move(message.base()), std::move(message.body()));
    co_return ec;
}

asio::awaitable<boost::system::error_code> RequestReader::readHeader(Parser &parser,
                                                                     Duration firstByteTimeout)
{
    boost::system::error_code ec;
    m_minParseBytes = 1;
    if (!hasBufferedBytes()) {
        m_phase = Phase::Idle;
        armTimer(firstByteTimeout);
        // Waits for the first byte separately, to distinguish an idle connection from a slow
        // request.
        co_await m_socket.async_wait(tcp::socket::wait_read,
                                     asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
        m_phase = Phase::Request;
        armTimer(m_context.limits.headerTimeout);
        if (!m_unfinished) {
            beginRequest();
        }
        ec = parseReceivedBytes(parser);
    }
    while (ec == http::error::need_more) {
        ec = co_await readSome(parser, HeaderReadBytes);
        if (ec == http::error::need_more) {
            ec = co_await reserve(parser);
            ec = ec ? ec : http::error::need_more;
        }
    }
    if (!ec && !hasReadableBody(parser.get(), parser.get().version())) {
        ec = http::error::bad_transfer_encoding;
    }
    if (!ec) {
        m_headerBytes = headerMemory(parser.get());
        ec = co_await reserve(parser);
    }
    co_return ec;
}

/// Reads the body of a request. While there is no memory for it, nothing is read, so that the
/// caller sends no more.
asio::awaitable<boost::system::error_code> RequestReader::readBody(Parser &parser)
{
    boost::system::error_code ec = co_await growBody(parser);
    if (ec) {
        co_return ec;
    }
    m_continueExpected = beast::iequals(parser.get()[http::field::expect], "100-continue");
    m_handlers.onBodyExpected();
    ec = parseReceivedBytes(parser);
    while (ec == http::error::need_more) {
        ec = co_await growBody(parser);
        if (!ec) {
            const std::size_t room = m_bodyBytes - parser.get().body().size();
            const std::size_t minBytes = parser.chunked() ? HeaderReadBytes : 1;
            ec = co_await readSome(parser,
                                   std::clamp(room, minBytes, SessionContext::MaxReadBytes));
        }
        if (ec == http::error::need_more && m_buffer.size() > trailerLimit()) {
            ec = http::error::header_limit;
        }
    }
    m_continueExpected = false;
    co_return ec;
}

/// Reads once and parses what has arrived.
/// \return http::error::need_more if header or body are not complete.
asio::awaitable<boost::system::error_code> RequestReader::readSome(Parser &parser,
                                                                   std::size_t maxBytes)
{
    boost::system::error_code ec;
    co_await m_socket.async_wait(tcp::socket::wait_read,
                                 asio::redirect_error(asio::use_awaitable, ec));
    if (m_unfinished->isGivenUp()) {
        m_wasGivenUp = true;
        co_return asio::error::no_memory;
    }
    if (ec) {
        co_return ec;
    }
    // Nothing else uses the shared buffer before this function returns.
    beast::flat_buffer &shared = m_context.readBuffer;
    shared.clear();
    const std::size_t n = m_socket.read_some(shared.prepare(maxBytes), ec);
    if (ec == asio::error::would_block) {
        co_return http::error::need_more;
    }
    if (ec) {
        co_return ec == asio::error::eof ? parseEnd(parser) : ec;
    }
    shared.commit(n);
    m_unfinished->received(n);
    const bool isFirst = !hasBufferedBytes();
    if (isFirst) {
        ec = parse(parser, shared);
    }
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(shared.size()), shared.data()));
    if (!isFirst) {
        ec = parseReceivedBytes(parser);
    }
    co_return ec;
}

boost::system::error_code RequestReader::parseReceivedBytes(Parser &parser)
{
    const boost::system::error_code ec = parse(parser, m_buffer);
    if (!hasBufferedBytes()) {
        m_buffer.shrink_to_fit();
    }
    return ec;
}

/// Parses bytes up to the end of the header or of the body.
/// \return http::error::need_more if they are not complete.
boost::system::error_code RequestReader::parse(Parser &parser, beast::flat_buffer &buffer)
{
    const bool readsBody = parser.is_header_done();
    while (buffer.size() >= m_minParseBytes) {
        const boost::system::error_code ec = parseReceived(buffer, parser);
        m_minParseBytes = ec == http::error::need_more ? minBytesForRetry(parser) : 1;
        if (ec || parser.is_done() || parser.is_header_done() != readsBody) {
            return ec;
        }
    }
    return http::error::need_more;
}

/// Makes room for the bytes of the body that are read next.
asio::awaitable<boost::system::error_code> RequestReader::growBody(Parser &parser)
{
    std::string &body = parser.get().body();
    const auto length = parser.content_length();
    const auto maxBytes = std::size_t(length.value_or(m_context.limits.bodyBytes));
    const std::size_t neededBytes
        = std::min(maxBytes, body.size() + std::max(m_buffer.size(), HeaderReadBytes));
    if (neededBytes > m_bodyBytes) {
        const std::size_t size = nextBodySize(m_bodyBytes, neededBytes, length, maxBytes);
        const std::size_t previous = std::exchange(m_bodyBytes, size);
        if (const auto ec = co_await reserve(parser)) {
            co_return ec;
        }
        if (size > previous) {
            std::string grown;
            grown.reserve(size);
            grown += body;
            body.swap(grown);
        }
    }
    co_return co_await reserve(parser);
}

/// Reserves memory for what the request takes, and waits for it up to MaxMemoryWait.
/// \return the error that read() returns.
asio::awaitable<boost::system::error_code> RequestReader::reserve(const Parser &parser)
{
    const std::size_t bytes = m_headerBytes + m_bodyBytes + bufferBytes();
    if (bytes <= m_reservedBytes) {
        co_return boost::system::error_code();
    }
    m_reservedBytes = bytes;
    const std::uint64_t bodyBytes
        = parser.is_header_done() ? parser.content_length().value_or(m_bodyBytes) : 0;
    const bool isLong = bodyBytes > RequestBudget::MaxShortBodyBytes;
    RequestNeed need {isLong ? RequestShare::Long : RequestShare::Short, bytes};
    need.nested = m_context.requestMemory->isScarce(need) && isNested(parser);
    const auto received = std::min<std::uint64_t>(bodyBytes, parser.get().body().size());
    if (m_unfinished->reserve(need, bodyBytes - received)) {
        co_return boost::system::error_code();
    }
    const TimePoint lastTryAt = m_context.executor.now() + MaxMemoryWait;
    boost::system::error_code ec;
    while (!ec && m_unfinished->isWaiting()) {
        const TimePoint now = m_context.executor.now();
        m_wasGivenUp = m_unfinished->isGivenUp();
        if (m_wasGivenUp || now >= lastTryAt || !m_socket.is_open()) {
            ec = asio::error::no_memory;
        } else if (hasPeerClosed(m_socket)) {
            ec = http::error::partial_message;
        } else {
            co_await waitUntil(std::min(lastTryAt, now + LeaveCheckInterval));
        }
    }
    m_unfinished->stopWaiting();
    co_return ec;
}

/// \return the memory of a complete request.
RequestReservation RequestReader::completeRequest(Parser &parser)
{
    std::string &body = parser.get().body();
    if (body.capacity() > 2 * body.size()) {
        body.shrink_to_fit();
    }
    m_unfinished->charge(m_headerBytes + body.capacity());
    RequestReservation reservation = m_unfinished->complete();
    m_unfinished.reset();
    if (const std::size_t bytes = bufferBytes(); bytes > 0) {
        // Belongs to the next request.
        beginRequest();
        m_unfinished->charge(bytes);
        m_reservedBytes = bytes;
    }
    return reservation;
}

void RequestReader::beginRequest()
{
    m_headerBytes = 0;
    m_bodyBytes = 0;
    m_reservedBytes = 0;
    m_unfinished.emplace(m_context.requestMemory, [this] {
        m_wakeup.cancel();
        if (m_unfinished->isGivenUp()) {
            boost::system::error_code ec;
            m_socket.cancel(ec);
        }
    });
}

/// \return memory of unparsed bytes, as far as it is counted.
std::size_t RequestReader::bufferBytes() const
{
    return m_buffer.capacity() > MaxUncountedBytes ? m_buffer.capacity() : 0;
}

std::uint64_t RequestReader::trailerLimit() const
{
    return std::max(m_context.limits.headerBytes, MaxTrailerBytes);
}

bool RequestReader::isNested(const Parser &parser) const
{
    HeaderFault fault;
    std::error_code ec;
    const std::vector<HeaderField> headers = endToEndHeaders(parser.get());
    return m_context.dialect.decodeCall(headers, fault, ec).depth > 0;
}

asio::awaitable<boost::system::error_code> RequestReader::waitForWakeUp()
{
    co_await waitUntil(m_context.executor.now() + LeaveCheckInterval);
    co_return hasPeerClosed(m_socket) ? boost::system::error_code(http::error::end_of_stream)
                                      : boost::system::error_code();
}

/// Waits until a time, or until m_wakeup is cancelled.
asio::awaitable<void> RequestReader::waitUntil(TimePoint at)
{
    boost::system::error_code ec;
    m_wakeup.expires_at(at);
    co_await m_wakeup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> RequestReader::discardInput()
{
    m_phase = Phase::Idle;
    m_unfinished.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    armTimer(m_context.limits.idleTimeout);
    boost::system::error_code ec;
    while (m_socket.is_open() && (!ec || ec == asio::error::operation_aborted)) {
        co_await m_socket.async_wait(tcp::socket::wait_read,
                                     asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            m_context.readBuffer.clear();
            m_socket.read_some(m_context.readBuffer.prepare(SessionContext::MaxReadBytes), ec);
            ec = ec == asio::error::would_block ? boost::system::error_code() : ec;
        }
    }
    stopTimer();
}

void RequestReader::armTimer(Duration timeout)
{
    m_timedOut = false;
    m_context.executor.cancel(m_timer);
    m_timer = m_context.executor.scheduleAfter(timeout, [this] { timerExpired(); });
}

void RequestReader::stopTimer()
{
    m_context.executor.cancel(m_timer);
}

void RequestReader::timerExpired()
{
    if (m_phase == Phase::Idle && m_handlers.onIdle()) {
        armTimer(m_context.limits.idleTimeout);
        return;
    }
    // A read that has just completed cannot be cancelled, and the request may go on with another
    // one.
    armTimer(m_context.limits.headerTimeout);
    m_timedOut = true;
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

std::optional<Reason> RequestReader::refusalReason(boost::system::error_code ec) const
{
    if (m_timedOut) {
        return Reason::RequestTimeout;
    }
    if (ec == http::error::header_limit || ec == std::error_code(ServiceError::FieldTooLong)) {
        return Reason::HeaderTooLarge;
    }
    if (ec == http::error::body_limit) {
        return Reason::BodyTooLarge;
    }
    if (ec == std::error_code(ServiceError::UnreadableMessage)) {
        return Reason::BadHeader;
    }
    if (ec.category() == make_error_code(http::error::bad_method).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        return Reason::BadHeader;
    }
    return std::nullopt;
}

} // namespace Coltsfootwell::Internal
