// Reads the requests of a caller's connection, within the limits of time and memory.
// Include only from .cpp files, since it includes Asio and Beast.
#pragma once

#include "services/GrowingBody.h"
#include "services/HttpIo.h"
#include "services/RequestMemory.h"
#include "services/SessionContext.h"

#include <functional>
#include <memory>
#include <optional>

namespace Coltsfootwell::Internal {

/// \brief A request as it was read.
struct ReceivedRequest
{
    http::request<http::string_body> message;
    RequestReservation reservation;
};

/// \brief What the reader asks of the session that owns it.
struct RequestReaderHandlers
{
    /// Called before the body of a request is read.
    std::function<void()> onBodyExpected;
    /// Called when nothing has arrived for the idle timeout. Returns true if the reader goes on to
    /// wait, since a request is at work or an answer is being written.
    std::function<bool()> onIdle;
};

/// \brief Reads one request after the other.
class RequestReader
{
public:
    /// \param socket connection; must outlive the reader.
    /// \param context state shared by all sessions; must outlive the reader.
    /// \param handlers called until the reader is destroyed.
    RequestReader(tcp::socket &socket, SessionContext &context, RequestReaderHandlers handlers);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// \brief Reads a request. Only one read may be in progress.
    /// \param request receives the request, or as much of its header as was read.
    /// \param firstByteTimeout maximum time until its first byte.
    /// \return the error that ended the read; asio::error::no_memory if there is no memory for the
    /// request or it was given up for another one, http::error::partial_message if the caller has
    /// left meanwhile.
    asio::awaitable<boost::system::error_code> read(ReceivedRequest &request,
                                                    Duration firstByteTimeout);

    /// \brief Waits for a short time or until wakeUp() is called. Reads nothing.
    /// \return http::error::end_of_stream if the caller has left.
    asio::awaitable<boost::system::error_code> waitForWakeUp();

    /// \brief Reads and discards input until the caller sends no more or the connection is closed.
    asio::awaitable<void> discardInput();

    /// \brief Resumes a wait for a smaller number of requests or for memory.
    void wakeUp() { m_wakeup.cancel(); }

    /// \brief Sets the time after which the read in progress fails, or an idle wait ends.
    void armTimer(Duration timeout);
    void stopTimer();

    /// \return true if part of a request has been read.
    bool hasPartialRequest() const { return m_phase == Phase::Request || hasBufferedBytes(); }
    /// \return true while the rest of a request is being read.
    bool isReadingRequest() const { return m_phase == Phase::Request; }
    /// \return true if bytes behind the last request have been read.
    bool hasBufferedBytes() const { return m_buffer.size() > 0; }

    /// \return true if the caller of the request that is being read waits for "100 Continue".
    bool continueExpected() const { return m_continueExpected; }
    /// \brief Notes that "100 Continue" has been written.
    void continueSent() { m_continueExpected = false; }

    /// \return true if the last read failed since it took too long.
    bool timedOut() const { return m_timedOut; }

    /// \return true if the last read failed since its request was given up for another one.
    bool wasGivenUp() const { return m_wasGivenUp; }

    /// \param ec error of a read.
    /// \return the reason for which the request is refused; empty if the connection has ended.
    std::optional<Reason> refusalReason(boost::system::error_code ec) const;

private:
    using Parser = http::request_parser<GrowingBody>;

    /// State of the reading side of a connection.
    enum class Phase {
        /// Waits for the first byte of a request.
        Idle,
        /// Reads the rest of a request.
        Request,
    };

    asio::awaitable<boost::system::error_code> readHeader(Parser &parser,
                                                          Duration firstByteTimeout);
    asio::awaitable<boost::system::error_code> readBody(Parser &parser);
    asio::awaitable<boost::system::error_code> readSome(Parser &parser, std::size_t maxBytes);
    boost::system::error_code parse(Parser &parser, beast::flat_buffer &buffer);
    boost::system::error_code parseReceivedBytes(Parser &parser);
    asio::awaitable<boost::system::error_code> growBody(Parser &parser);
    asio::awaitable<boost::system::error_code> reserve(const Parser &parser);
    RequestReservation completeRequest(Parser &parser);
    void beginRequest();
    std::size_t bufferBytes() const;
    std::uint64_t trailerLimit() const;
    bool isNested(const Parser &parser) const;
    asio::awaitable<void> waitUntil(TimePoint at);
    void timerExpired();

    tcp::socket &m_socket;
    SessionContext &m_context;
    RequestReaderHandlers m_handlers;
    /// Received bytes that are not parsed yet.
    beast::flat_buffer m_buffer;
    /// Number of bytes in m_buffer from which they are parsed again.
    std::size_t m_minParseBytes = 1;
    /// Memory of the request that is being read; empty between requests.
    std::optional<UnfinishedRequest> m_unfinished;
    /// Memory of its header and of its body, and their total that is reserved.
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_reservedBytes = 0;
    /// Resumes a waiting reader when it is cancelled.
    asio::steady_timer m_wakeup;
    TimerId m_timer = 0;
    Phase m_phase = Phase::Idle;
    bool m_continueExpected = false;
    /// True if the timer has expired since it was armed for the read in progress.
    bool m_timedOut = false;
    bool m_wasGivenUp = false;
};

} // namespace Coltsfootwell::Internal
