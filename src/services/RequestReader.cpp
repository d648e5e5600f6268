#include "services/RequestReader.h"

#include "services/HttpRead.h"
#include "services/ServiceError.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum time for which a request waits for memory for its body. A caller that may repeat its
/// request does so after a second without progress.
constexpr std::chrono::milliseconds MaxMemoryWait {500};
/// Interval between checks whether the caller has left, while nothing is read from its connection.
/// Its calls must be cancelled within half a second.
constexpr std::chrono::milliseconds LeaveCheckInterval {100};

} // namespace

RequestReader::RequestReader(tcp::socket &socket, SessionContext &context,
                             RequestReaderHandlers handlers)
    : m_socket(socket), m_context(context), m_handlers(std::move(handlers)),
      m_wakeup(std::make_shared<asio::steady_timer>(socket.get_executor()))
{
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
    boost::system::error_code ec = co_await readHeader(parser, firstByteTimeout);
    if (!ec && !parser.is_done()) {
        armTimer(m_context.limits.idleTimeout);
        ec = co_await readBody(parser, request.reservation);
    }
    stopTimer();
    if (!ec) {
        m_phase = Phase::Idle;
    }
    request.message = parser.release();
    co_return ec;
}

asio::awaitable<boost::system::error_code> RequestReader::readHeader(Parser &parser,
                                                                     Duration firstByteTimeout)
{
    boost::system::error_code ec;
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
        ec = co_await Internal::readHeader(m_socket, m_buffer, parser);
    }
    if (!ec && !hasReadableBody(parser.get(), parser.get().version())) {
        ec = http::error::bad_transfer_encoding;
    }
    co_return ec;
}

/// Reads the body of a request. While there is no memory for it, nothing is read, so that the
/// caller sends no more.
asio::awaitable<boost::system::error_code> RequestReader::readBody(Parser &parser,
                                                                   BodyReservation &reservation)
{
    boost::system::error_code ec;
    const auto length = parser.content_length();
    ec = co_await reserve(reservation, length ? std::size_t(*length) : 0);
    if (ec) {
        co_return ec;
    }
    m_continueExpected = beast::iequals(parser.get()[http::field::expect], "100-continue");
    m_handlers.onBodyExpected();
    const BodyReadBuffer readBuffer(m_buffer, length.value_or(m_context.limits.bodyBytes));
    while (!ec && !parser.is_done()) {
        ec = co_await readSome(m_socket, m_buffer, parser);
        // A body without a length grows by doubling, which copies it.
        const std::size_t bytes = parser.get().body().size();
        if (!ec && !length) {
            ec = co_await reserve(reservation, 2 * bytes);
        }
    }
    m_continueExpected = false;
    co_return ec;
}

/// Reserves memory for a body, and waits for it up to MaxMemoryWait.
/// \return the error that read() returns.
asio::awaitable<boost::system::error_code> RequestReader::reserve(BodyReservation &reservation,
                                                                  std::size_t bytes)
{
    const TimePoint lastTryAt = m_context.executor.now() + MaxMemoryWait;
    while (!reservation.grow(bytes)) {
        const TimePoint now = m_context.executor.now();
        if (now >= lastTryAt || !m_socket.is_open()) {
            co_return asio::error::no_memory;
        }
        if (hasPeerClosed(m_socket)) {
            co_return http::error::partial_message;
        }
        m_context.bodyBudget->waitForRelease([weak = std::weak_ptr(m_wakeup)] {
            if (const auto wakeup = weak.lock()) {
                wakeup->cancel();
            }
        });
        co_await waitUntil(std::min(lastTryAt, now + LeaveCheckInterval));
    }
    co_return boost::system::error_code();
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
    m_wakeup->expires_at(at);
    co_await m_wakeup->async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> RequestReader::discardInput()
{
    m_phase = Phase::Idle;
    m_buffer.clear();
    armTimer(m_context.limits.idleTimeout);
    std::array<char, 4096> buf {};
    boost::system::error_code ec;
    while (m_socket.is_open() && (!ec || ec == asio::error::operation_aborted)) {
        co_await m_socket.async_read_some(asio::buffer(buf),
                                          asio::redirect_error(asio::use_awaitable, ec));
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
