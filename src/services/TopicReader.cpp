#include "services/TopicReader.h"

#include "services/ServiceError.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinRetryDelay {100};
constexpr milliseconds MaxRetryDelay {1'000};
/// A failed call counts as timed out, not as refused, if it took at least this long in addition to
/// its long-poll timeout.
constexpr milliseconds TimedOutMargin {700};

} // namespace

TopicReader::TopicReader(Kernel &kernel, std::shared_ptr<StoreClient> store, std::string_view topic,
                         TopicReaderHandlers handlers)
    : m_kernel(kernel), m_store(std::move(store)), m_topic(topic), m_handlers(std::move(handlers)),
      m_retryDelay(MinRetryDelay)
{
}

Duration TopicReader::callAge() const
{
    return m_state == State::Calling ? m_kernel.executor().now() - m_callStart : Duration();
}

void TopicReader::readNewest(std::size_t maxBytes)
{
    m_state = State::Calling;
    m_callStart = m_kernel.executor().now();
    m_longPollTimeout = {};
    m_newest = {};
    m_firstPage = true;
    m_maxBytes = maxBytes;
    readPage("");
}

void TopicReader::read(std::uint64_t offset, milliseconds longPollTimeout)
{
    m_state = State::Calling;
    m_callStart = m_kernel.executor().now();
    m_longPollTimeout = longPollTimeout;
    m_store->read(m_topic, offset, longPollTimeout, [this](const RecordsRead &read) {
        if (m_state == State::Stopped) {
            return;
        }
        if (read.ec && read.ec != ServiceError::HistoryLost) {
            backOff(read.ec);
            return;
        }
        callSucceeded(read.transfer.bytes);
        if (isRepeatedWithoutProgress(read)) {
            pause();
        }
        m_handlers.onRecords(read);
    });
}

/// \return true from the second read in a row on that has brought no record although there are
/// some. The owner reads the newest records then, and the next read may be answered in the same
/// way.
bool TopicReader::isRepeatedWithoutProgress(const RecordsRead &read)
{
    if (!read.ec && (read.next >= read.end || !read.records.empty())) {
        m_readsWithoutProgress = 0;
        m_retryDelay = MinRetryDelay;
        return false;
    }
    return ++m_readsWithoutProgress > 1;
}

void TopicReader::pause()
{
    if (m_state == State::Idle) {
        m_state = State::BackingOff;
        scheduleRetry();
    }
}

void TopicReader::cancelCall()
{
    if (m_state == State::Calling) {
        m_store->cancelAll();
        m_state = State::Idle;
    }
}

void TopicReader::stop()
{
    m_state = State::Stopped;
    m_kernel.executor().cancel(m_timer);
    m_store->cancelAll();
}

void TopicReader::readPage(const std::string &after)
{
    m_store->readNewest(m_topic, after, m_maxBytes,
                        [this](NewestRecords page) { handlePage(std::move(page)); });
}

void TopicReader::handlePage(NewestRecords page)
{
    if (m_state == State::Stopped) {
        return;
    }
    if (page.ec && page.ec != ServiceError::AnswerTooLarge) {
        backOff(page.ec);
        return;
    }
    const bool hasMore = page.hasMore && !page.records.empty();
    const std::string lastKey = hasMore ? page.records.back().key : "";
    if (!m_firstPage && page.epoch != m_newest.epoch) {
        // The pages are of different copies of the topic.
        backOff(ServiceError::StoreUnavailable);
        return;
    }
    m_newest.ec = page.ec;
    m_newest.epoch = page.epoch;
    // Pages are not a consistent snapshot: records appended between two reads may be missing from
    // the earlier pages. The lowest end offset is safe to continue from.
    m_newest.end = m_firstPage ? page.end : std::min(m_newest.end, page.end);
    m_firstPage = false;
    m_newest.transfer.bytes += page.transfer.bytes;
    m_newest.transfer.bodyReceiveTime += page.transfer.bodyReceiveTime;
    std::ranges::move(page.records, std::back_inserter(m_newest.records));
    if (hasMore && !page.ec) {
        readPage(lastKey);
        return;
    }
    callSucceeded(m_newest.transfer.bytes);
    m_handlers.onNewest(std::exchange(m_newest, {}));
}

void TopicReader::callSucceeded(std::size_t bytes)
{
    m_state = State::Idle;
    m_telemetry.send(
        IncrementCounter {"configuration_bytes_total", "store", static_cast<double>(bytes)});
    if (!std::exchange(m_storeAvailable, true)) {
        m_telemetry.send(LogEvent {"store.regained", "", ""});
    }
}

void TopicReader::backOff(std::error_code ec)
{
    m_state = State::BackingOff;
    m_telemetry.send(IncrementCounter {"store_failures_total", ec.message()});
    if (std::exchange(m_storeAvailable, false)) {
        m_telemetry.send(LogEvent {"store.lost", "", "error=" + ec.message()});
    }
    scheduleRetry();
    const bool timedOut
        = m_kernel.executor().now() - m_callStart >= m_longPollTimeout + TimedOutMargin;
    m_handlers.onFailure(timedOut ? StoreCallFailure::TimedOut : StoreCallFailure::Refused);
}

void TopicReader::scheduleRetry()
{
    m_timer = m_kernel.executor().scheduleAfter(
        m_retryDelay + milliseconds(m_kernel.random().below(MinRetryDelay.count())), [this] {
            m_state = State::Idle;
            m_handlers.onRetry();
        });
    m_retryDelay = std::min(m_retryDelay * 2, MaxRetryDelay);
}

} // namespace Coltsfootwell
