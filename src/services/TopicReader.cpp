#include "services/TopicReader.h"

#include "services/ServiceError.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ShortestRetry {100};
constexpr milliseconds LongestRetry {1'000};
/// A call that fails so long after its answer was due was not refused.
constexpr milliseconds SilenceTime {700};

} // namespace

TopicReader::TopicReader(Kernel &kernel, std::shared_ptr<StoreClient> store, std::string_view topic,
                         TopicReaderHandlers handlers)
    : m_kernel(kernel), m_store(std::move(store)), m_topic(topic), m_handlers(std::move(handlers)),
      m_retry(ShortestRetry)
{
}

Duration TopicReader::callAge() const
{
    return m_state == State::Calling ? m_kernel.executor().now() - m_callBegan : Duration();
}

void TopicReader::readNewest(std::size_t maxBytes)
{
    m_state = State::Calling;
    m_callBegan = m_kernel.executor().now();
    m_wait = {};
    m_pages = {};
    m_firstPage = true;
    m_maxBytes = maxBytes;
    readPage("");
}

void TopicReader::read(std::uint64_t from, milliseconds wait)
{
    m_state = State::Calling;
    m_callBegan = m_kernel.executor().now();
    m_wait = wait;
    m_store->read(m_topic, from, wait, [this](const RecordsRead &read) {
        if (m_state == State::Stopped) {
            return;
        }
        if (read.ec && read.ec != ServiceError::HistoryLost) {
            pause(read.ec);
            return;
        }
        answered(read.transfer.bytes);
        m_handlers.records(read);
    });
}

void TopicReader::drop()
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
                        [this](NewestRecords page) { pageRead(std::move(page)); });
}

void TopicReader::pageRead(NewestRecords page)
{
    if (m_state == State::Stopped) {
        return;
    }
    if (page.ec && page.ec != ServiceError::AnswerTooLong) {
        pause(page.ec);
        return;
    }
    const bool more = page.hasMore && !page.records.empty();
    const std::string last = more ? page.records.back().key : "";
    m_pages.ec = page.ec;
    // Pages are no snapshot: what was appended meanwhile may be missing on the earlier ones.
    m_pages.end = m_firstPage ? page.end : std::min(m_pages.end, page.end);
    m_firstPage = false;
    m_pages.transfer.bytes += page.transfer.bytes;
    m_pages.transfer.arrival += page.transfer.arrival;
    std::ranges::move(page.records, std::back_inserter(m_pages.records));
    if (more && !page.ec) {
        readPage(last);
        return;
    }
    answered(m_pages.transfer.bytes);
    m_handlers.newest(std::exchange(m_pages, {}));
}

void TopicReader::answered(std::size_t bytes)
{
    m_state = State::Idle;
    m_retry = ShortestRetry;
    m_telemetry.send(
        IncrementCounter {"configuration_bytes_total", "store", static_cast<double>(bytes)});
    if (!std::exchange(m_storeAnswers, true)) {
        m_telemetry.send(LogEvent {"store.regained", "", ""});
    }
}

void TopicReader::pause(std::error_code ec)
{
    m_state = State::Pausing;
    m_telemetry.send(IncrementCounter {"store_failures_total", ec.message()});
    if (std::exchange(m_storeAnswers, false)) {
        m_telemetry.send(LogEvent {"store.lost", "", "error=" + ec.message()});
    }
    m_timer = m_kernel.executor().scheduleAfter(
        m_retry + milliseconds(m_kernel.random().below(ShortestRetry.count())), [this] {
            m_state = State::Idle;
            m_handlers.resumed();
        });
    m_retry = std::min(m_retry * 2, LongestRetry);
    const bool silent = m_kernel.executor().now() - m_callBegan >= m_wait + SilenceTime;
    m_handlers.failed(silent ? StoreCallFailure::TimedOut : StoreCallFailure::Refused);
}

} // namespace Coltsfootwell
