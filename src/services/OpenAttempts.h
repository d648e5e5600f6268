// Part of the service "links": attempts sent to one peer that have no result yet. An attempt whose
// connection breaks is resumed over the next connection, so that its answer is not lost and it
// never runs twice.
//
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "services/FrameTable.h"
#include "services/LinkClientDependencies.h"
#include "services/LinkSession.h"
#include "services/LongAnswers.h"
#include "services/OutgoingBodies.h"

#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Coltsfootwell::Internal {

/// \brief The open attempts of one peer, and their bodies in both directions.
class OpenAttempts
{
public:
    /// \param dependencies must outlive the object.
    /// \param session must outlive the object.
    /// \param onEnded called for each attempt that gets its result.
    OpenAttempts(const LinkClientDependencies &dependencies, const LinkSession &session,
                 std::function<void(const AttemptId &)> onEnded);

    bool empty() const { return m_attempts.empty(); }
    /// \return true if the peer has to be told of a cancellation.
    bool hasPendingCancels() const { return !m_pendingCancels.empty(); }
    std::size_t size() const { return m_attempts.size(); }

    /// \brief Adds an attempt, and sends it if there is a connection.
    void add(RunAttempt attempt);

    /// \brief Ends an attempt and tells the peer, over the next connection if there is none.
    void cancel(const AttemptId &attempt);

    /// \brief Drops cancellations of runs that the peer has ended by itself meanwhile.
    void expireCancels();

    /// \brief Sends or resumes all attempts over a new connection, and sends the cancellations that
    /// wait for one.
    void connected();

    /// \brief Records the process to which the attempts of this connection were sent.
    void helloReceived();

    /// \brief Drops what belongs to the connection that has broken.
    void connectionBroken();

    /// \brief Fails the attempts, since the peer cannot be reached.
    /// \param idempotentOnly keeps attempts that were sent and are not idempotent, so that they can
    /// be resumed.
    void fail(bool idempotentOnly);

    /// \brief Handles a frame that belongs to an attempt.
    /// \return false if the frame is of another type.
    bool frameReceived(LinkFrame &frame) { return FrameHandlers.dispatch(*this, frame); }

    /// \brief Sends further parts of request bodies; call it when the connection has written
    /// everything.
    void sendBodyParts() { m_outgoingBodies.sendParts(*m_session.connection); }

private:
    /// An attempt without a result.
    struct OpenAttempt
    {
        RunAttempt attempt;
        /// True once the attempt was written to a connection.
        bool wasSent = false;
        /// Incarnation of the process that it was sent to; 0 if that process has not named itself
        /// over the connection to which the attempt was written.
        Incarnation sentTo = 0;
        /// True while the HelloFrame of that connection can still arrive.
        bool awaitsHello = false;
        TimePoint sentAt {};
        /// Number of connections over which the attempt was resumed.
        unsigned resumptions = 0;
        /// True once an answer has been announced, or dropped for want of memory, over any
        /// connection: the attempt has run.
        bool isAnswered = false;
        /// Memory for an answer that was dropped and is sent again; null if there is none.
        std::shared_ptr<void> answerMemory;
    };

    /// A cancellation that waits for a connection.
    struct PendingCancel
    {
        AttemptId attempt;
        TimePoint at;
    };

    void send(OpenAttempt &openAttempt);
    void resume(OpenAttempt &openAttempt);
    void complete(const AttemptId &attempt, AttemptResult result);

    void bodyRequested(LinkFrame &frame);
    void answerReceived(LinkFrame &frame);
    /// Has an answer sent again once there is memory for it.
    void requestAgain(const AttemptId &attempt, std::size_t bytes);
    void longAnswerReceived(LinkFrame &frame);
    void answerPartReceived(LinkFrame &frame);
    void refusalReceived(LinkFrame &frame);
    void lossReceived(LinkFrame &frame);
    /// Logs the result of an attempt that was resumed, with the process that reports it and the one
    /// that the attempt was sent to.
    void logResumedResult(const AttemptId &attempt, std::string_view result);

    TimePoint now() const { return m_dependencies.executor.now(); }

    static const FrameTable<OpenAttempts> FrameHandlers;

    const LinkClientDependencies &m_dependencies;
    const LinkSession &m_session;
    const std::function<void(const AttemptId &)> m_onEnded;
    std::unordered_map<AttemptId, OpenAttempt> m_attempts;
    /// In the order of their times.
    std::deque<PendingCancel> m_pendingCancels;
    OutgoingBodies m_outgoingBodies;
    const std::shared_ptr<LongAnswers> m_longAnswers;
    /// Exists as long as this object, for tasks that may run after its end.
    const std::shared_ptr<OpenAttempts *> m_self = std::make_shared<OpenAttempts *>(this);
};

} // namespace Coltsfootwell::Internal
