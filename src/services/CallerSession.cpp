#include "services/CallerSession.h"

#include "services/AnswerReaders.h"
#include "services/AnswerWriter.h"
#include "services/LingeringClose.h"
#include "services/PendingAnswers.h"
#include "services/RequestForwarder.h"
#include "services/RequestReader.h"
#include "services/TaskGuard.h"

#include <boost/asio/co_spawn.hpp>

namespace Coltsfootwell::Internal {

namespace {

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time for which a stop waits for the first request of an open connection. A caller that has just
/// connected is about to send one, and if the connection were closed, it could not determine
/// whether the request was processed.
constexpr std::chrono::seconds FirstRequestTimeout {1};

class Session final : public SessionHandle, public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<SessionContext> context)
        : m_socket(std::move(socket)), m_context(std::move(context)),
          m_reader(m_socket, *m_context,
                   {[this] { writeCompletedAnswers(); }, [this] { return waitsForAnswers(); }}),
          m_writer(
              m_socket, [this] { answersWritten(); }, [this] { connectionLost(); }),
          m_lingeringClose(m_socket, m_context->executor)
    {
        m_context->sessions.insert(this);
    }

    ~Session() override { m_context->removeSession(this); }

    /// Serves requests until the caller sends no more or the connection is closed.
    asio::awaitable<void> run()
    {
        TaskGuard guard(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_readEnded = true;
            self->connectionLost();
        });
        while (!m_readEnded) {
            co_await waitForRoom();
            if (!m_readEnded) {
                co_await readRequest();
            }
        }
        // The caller may leave while its earlier calls are at work.
        co_await m_reader.discardInput();
        inputEnded();
        guard.finished();
    }

    auto executor() { return m_socket.get_executor(); }

    void close() override
    {
        m_closing = true;
        if (!isIdle()) {
            return;
        }
        if (const Duration wait = remainingFirstRequestTime(); wait > Duration::zero()) {
            m_reader.armTimer(wait);
            return;
        }
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_socket.cancel(ec);
    }

    bool closeIfIdle() override
    {
        if (!isIdle()) {
            return false;
        }
        m_readEnded = true;
        connectionLost();
        return true;
    }

    ConnectionState state() const override
    {
        // A connection that has just been opened is about to be used.
        const bool busy = isAnswering() || m_reader.hasPartialRequest()
            || remainingFirstRequestTime() > Duration::zero();
        return {busy ? std::nullopt : std::optional(m_lastActiveAt),
                m_closing || m_closeAfterWrite || m_readEnded};
    }

private:
    /// \return true if a request is in flight or an answer is being written.
    bool isAnswering() const { return !m_pending.empty() || m_writer.isWriting(); }

    /// \return true if nothing is to be answered or written, and no bytes of a request are buffered
    /// here or in the kernel.
    bool isIdle()
    {
        boost::system::error_code ec;
        return !isAnswering() && !m_reader.hasPartialRequest() && m_socket.available(ec) == 0;
    }

    /// \return time for which a stop still waits for the first request of this connection.
    Duration remainingFirstRequestTime() const
    {
        if (m_receivedRequest) {
            return {};
        }
        return std::max(m_openedAt + FirstRequestTimeout - m_context->executor.now(),
                        Duration::zero());
    }

    /// Waits until the connection may have another request in flight.
    asio::awaitable<void> waitForRoom()
    {
        if (m_pending.full()) {
            m_reader.armTimer(m_context->limits.idleTimeout);
        }
        while (m_pending.full() && !m_readEnded) {
            if (const auto ec = co_await m_reader.waitForWakeUp()) {
                readFailed(ec, {});
            }
        }
    }

    asio::awaitable<void> readRequest()
    {
        ReceivedRequest request;
        const Duration firstByteTimeout
            = m_closing ? remainingFirstRequestTime() : Duration(m_context->limits.idleTimeout);
        const boost::system::error_code ec = co_await m_reader.read(request, firstByteTimeout);
        if (ec) {
            readFailed(ec, request.message);
        } else {
            requestReceived(std::move(request));
        }
    }

    /// Called when nothing has arrived for the idle timeout.
    /// \return true if the connection stays open, since its caller waits for answers.
    bool waitsForAnswers()
    {
        if (m_writer.isWriting() && !m_writer.takeProgress()) {
            // The caller has read nothing for the whole time.
            m_readEnded = true;
            connectionLost();
        }
        return isAnswering();
    }

    void readFailed(boost::system::error_code ec, const http::fields &fields)
    {
        m_readEnded = true;
        if (m_lingeringClose.isStarted() || m_closeAfterWrite) {
            // The answer that closes the connection has been written, or is being written.
        } else if (ec == asio::error::no_memory) {
            const std::string_view cause = m_reader.wasGivenUp() ? "stalled" : "body-memory";
            addExchange(refuseForMemory(m_context, cause, fields));
        } else if (!m_reader.isReadingRequest() && (m_reader.timedOut() || m_closing)
                   && !isAnswering()) {
            closeGracefully();
        } else if (const auto reason = m_reader.refusalReason(ec)) {
            addExchange(refuseRequest(m_context, *reason, fields));
        } else if (ec == http::error::end_of_stream || ec == http::error::partial_message) {
            callerLeft();
        } else {
            connectionLost();
        }
    }

    /// Called when no more input arrives after the last request.
    void inputEnded()
    {
        m_lingeringClose.inputEnded();
        if (m_socket.is_open()) {
            callerLeft();
        }
        if (m_writer.isWriting()) {
            // The caller may have stopped reading its answers.
            m_reader.armTimer(m_context->limits.idleTimeout);
        }
    }

    /// Cancels the calls of a caller that sends no more.
    void callerLeft()
    {
        if (!m_writer.isWriting()) {
            connectionLost();
            return;
        }
        // The caller may still read the answers that are ready. If it has closed the connection,
        // the write fails.
        m_pending.cancelUnanswered(m_context->calls);
        m_closing = true;
        m_closeAfterWrite = m_closeAfterWrite || m_pending.empty();
    }

    /// Cancels all calls of the connection after the caller has closed it or it has failed.
    void connectionLost()
    {
        m_pending.cancelAll(m_context->calls);
        m_lingeringClose.closeNow();
        m_reader.wakeUp();
    }

    /// Ends the session at once; the caller gets no more answers.
    void reset()
    {
        m_readEnded = true;
        resetSocket(m_socket);
        connectionLost();
    }

    void addExchange(std::shared_ptr<Exchange> exchange)
    {
        const bool answered = exchange->isAnswered();
        m_pending.add(std::move(exchange));
        if (answered) {
            writeCompletedAnswers();
        }
    }

    void requestReceived(ReceivedRequest request)
    {
        const bool draining = m_closing || m_context->draining;
        if (m_closeAfterWrite || m_pending.endWithClose() || (draining && !m_pending.empty())) {
            // The answer that closes the connection implies that this request was not processed.
            // If such requests were processed, a caller that always has another request in flight
            // could keep its connection open forever.
            logDroppedRequest(*m_context, request.message, "behind-closing-answer");
            m_readEnded = true;
            return;
        }
        if (!isControlRequest(*m_context, request.message) && hasPeerClosed(m_socket)) {
            // After a pause of this process, the request and the end of the connection are both
            // there, and the request would be sent on before the end is read.
            logDroppedRequest(*m_context, request.message, "caller-left");
            m_readEnded = true;
            callerLeft();
            return;
        }
        m_receivedRequest = true;
        m_lastActiveAt = m_context->executor.now();
        addExchange(forwardRequest(m_context, std::move(request),
                                   [self = shared_from_this()] { self->writeCompletedAnswers(); }));
    }

    /// Writes all completed answers that are next in order, and after them the interim answer that
    /// the caller of the request that is being read waits for.
    void writeCompletedAnswers()
    {
        if (m_writer.isWriting() || !m_socket.is_open()) {
            return;
        }
        bool close = false;
        while (const std::shared_ptr<Exchange> exchange
               = close || m_writer.isFull() ? nullptr : m_pending.takeAnswered()) {
            // Callers treat requests after a closing answer as not processed, so only the last
            // answer may close the connection.
            const bool last = m_pending.empty() && (m_readEnded || !m_reader.hasBufferedBytes());
            close = !exchange->keepAlive || (last && (m_closing || m_context->draining));
            SerializedAnswer answer = exchange->makeAnswer({exchange->headRequest, !close});
            m_writer.add(std::move(answer.bytes), std::move(answer.body), exchange->held,
                         std::move(answer.copiedBody));
        }
        m_reader.wakeUp();
        m_closeAfterWrite = m_closeAfterWrite || close;
        m_readEnded = m_readEnded || close;
        if (m_reader.continueExpected() && m_pending.empty() && !m_closeAfterWrite) {
            m_reader.continueSent();
            m_writer.add(std::string(ContinueAnswer));
        }
        m_writer.start(shared_from_this());
    }

    void answersWritten()
    {
        m_lastActiveAt = m_context->executor.now();
        if (m_closeAfterWrite) {
            closeGracefully();
            return;
        }
        writeCompletedAnswers();
        if (m_closing && isIdle()) {
            close();
        }
    }

    void closeGracefully()
    {
        m_readEnded = true;
        m_lingeringClose.start();
        m_reader.wakeUp();
    }

    tcp::socket m_socket;
    std::shared_ptr<SessionContext> m_context;
    PendingAnswers m_pending;
    RequestReader m_reader;
    AnswerWriter m_writer;
    LingeringClose m_lingeringClose;
    const AnswerReaderHandle m_readerHandle {m_context->answerReaders, m_pending, m_writer,
                                             [this] { reset(); }};
    const TimePoint m_openedAt = m_context->executor.now();
    /// Time at which a request was received or an answer was written last.
    TimePoint m_lastActiveAt = m_openedAt;
    bool m_closing = false;
    bool m_receivedRequest = false;
    bool m_closeAfterWrite = false;
    bool m_readEnded = false;
};

} // namespace

void startSession(tcp::socket socket, std::shared_ptr<SessionContext> context)
{
    const auto session = std::make_shared<Session>(std::move(socket), std::move(context));
    asio::co_spawn(
        session->executor(), [session] { return session->run(); }, rethrowFailure);
}

} // namespace Coltsfootwell::Internal
