// Reads one topic of the store with one call at a time: the newest record of each key, then what
// is appended. Calls that fail are followed by a pause.
#pragma once

#include "decisions/StoreSchedule.h"
#include "kernel/Kernel.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief What the reader tells its owner. Every handler may begin the next call.
struct TopicReaderHandlers
{
    /// The records of all pages; the error is AnswerTooLong or cleared.
    std::function<void(NewestRecords)> newest;
    /// The error is HistoryLost or cleared.
    std::function<void(const RecordsRead &)> records;
    /// A call has failed. The next one can begin after a pause.
    std::function<void(StoreCallFailure)> failed;
    /// The pause is over.
    std::function<void()> resumed;
};

/// \brief One topic.
class TopicReader
{
public:
    /// \param kernel outlives the reader.
    /// \param store used by this reader alone.
    /// \param topic name of the topic.
    TopicReader(Kernel &kernel, std::shared_ptr<StoreClient> store, std::string_view topic,
                TopicReaderHandlers handlers);

    /// \brief Begins to write to the log.
    void start(Address<TelemetryMessage> telemetry) { m_telemetry = std::move(telemetry); }

    /// \return true during a call and the pause after one that has failed.
    bool isBusy() const { return m_state != State::Idle; }

    /// \return true while the store waits for records.
    bool isWaiting() const
    {
        return m_wait > Duration::zero() && m_state == State::Calling && !isReceiving();
    }

    /// \return true while an answer arrives, which may take long over a narrow link.
    bool isReceiving() const { return m_store->isReceiving(); }

    /// \return time since the call in progress began; zero without one.
    Duration callAge() const;

    /// \brief Reads the newest record of each key.
    /// \param maxBytes longest answer that is read.
    void readNewest(std::size_t maxBytes);

    /// \brief Reads from an offset on.
    /// \param wait time that the store waits for a record when there is none yet.
    void read(std::uint64_t from, std::chrono::milliseconds wait);

    /// \brief Gives up the call in progress.
    void drop();

    /// \brief Ends for good.
    void stop();

private:
    enum class State {
        Idle,
        Calling,
        Pausing,
        Stopped,
    };

    void readPage(const std::string &after);
    void pageRead(NewestRecords page);
    void answered(std::size_t bytes);
    void pause(std::error_code ec);

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    std::string m_topic;
    TopicReaderHandlers m_handlers;
    Address<TelemetryMessage> m_telemetry;
    State m_state = State::Idle;
    /// Pages read so far.
    NewestRecords m_pages;
    bool m_firstPage = true;
    std::size_t m_maxBytes = 0;
    TimePoint m_callBegan {};
    /// The store may wait so long for records before it answers the call in progress.
    Duration m_wait {};
    bool m_storeAnswers = false;
    std::chrono::milliseconds m_retry;
    TimerId m_timer = 0;
};

} // namespace Coltsfootwell
