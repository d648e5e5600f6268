// Reads a topic of the store, one call at a time: first the newest record of each key, then the
// records appended after it. Backs off exponentially after a failed call.
#pragma once

#include "decisions/StoreSchedule.h"
#include "kernel/Kernel.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief Callbacks of a TopicReader. Every one may start the next call.
struct TopicReaderHandlers
{
    /// Receives the newest records of all pages; `ec` is AnswerTooLarge or cleared.
    std::function<void(NewestRecords)> onNewest;
    /// Receives appended records; `ec` is HistoryLost or cleared.
    std::function<void(const RecordsRead &)> onRecords;
    /// Called when a call has failed. The reader stays busy until the backoff has elapsed.
    std::function<void(StoreCallFailure)> onFailure;
    /// Called when the backoff has elapsed and the next call can start.
    std::function<void()> onRetry;
};

/// \brief Reader of one topic.
class TopicReader
{
public:
    /// \param kernel must outlive the reader.
    /// \param store client that no other object uses, since cancelCall() cancels all its calls.
    /// \param topic name of the topic.
    /// \param handlers see TopicReaderHandlers.
    TopicReader(Kernel &kernel, std::shared_ptr<StoreClient> store, std::string_view topic,
                TopicReaderHandlers handlers);

    /// \brief Sets the receiver of log events and metrics.
    void attachTelemetry(Address<TelemetryMessage> telemetry)
    {
        m_telemetry = std::move(telemetry);
    }

    /// \return true while a call is in flight, and during the backoff after a failed one.
    bool isBusy() const { return m_state != State::Idle; }

    /// \return true while a long poll is in flight and no answer is being received.
    bool isLongPolling() const
    {
        return m_longPollTimeout > Duration::zero() && m_state == State::Calling && !isReceiving();
    }

    /// \return true while an answer is being received, which can take seconds over a low-bandwidth
    /// link.
    bool isReceiving() const { return m_store->isReceiving(); }

    /// \return time since the start of the call in flight; zero without one.
    Duration callAge() const;

    /// \brief Starts reading the newest record of each key, page by page.
    /// \param maxBytes maximum size of the answer to each call.
    void readNewest(std::size_t maxBytes);

    /// \brief Starts reading the records from an offset on.
    /// \param offset offset of the first record.
    /// \param longPollTimeout how long the store waits for a record if there is none yet.
    void read(std::uint64_t offset, std::chrono::milliseconds longPollTimeout);

    /// \brief Delays the next call as after a failed one. For an answer that cannot be used, since
    /// a repetition of the call may be answered in the same way at once.
    void pause();

    /// \brief Cancels the call in flight, so that the next one can start at once.
    void cancelCall();

    /// \brief Stops the reader permanently. No handler is called afterwards.
    void stop();

private:
    enum class State {
        Idle,
        Calling,
        BackingOff,
        Stopped,
    };

    bool isRepeatedWithoutProgress(const RecordsRead &read);
    void readPage(const std::string &after);
    void handlePage(NewestRecords page);
    void callSucceeded(std::size_t bytes);
    void backOff(std::error_code ec);
    void scheduleRetry();

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    std::string m_topic;
    TopicReaderHandlers m_handlers;
    Address<TelemetryMessage> m_telemetry;
    State m_state = State::Idle;
    /// Pages of newest records received so far, merged.
    NewestRecords m_newest;
    bool m_firstPage = true;
    std::size_t m_maxBytes = 0;
    TimePoint m_callStart {};
    /// Long-poll timeout of the call in flight; the store may take this long before it answers.
    Duration m_longPollTimeout {};
    bool m_storeAvailable = false;
    /// Number of reads in a row that made no progress.
    unsigned m_readsWithoutProgress = 0;
    std::chrono::milliseconds m_retryDelay;
    TimerId m_timer = 0;
};

} // namespace Coltsfootwell
