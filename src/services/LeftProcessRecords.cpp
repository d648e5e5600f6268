#include "services/LeftProcessRecords.h"

#include "services/BackendMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "services/UnixTime.h"
#include "wire/LeftProcessJson.h"

#include <algorithm>
#include <iterator>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Maximum time for which a request waits for the store. A backend server takes an announcement for
/// lost when it gets no answer within a second.
constexpr milliseconds MaxRecordingTime {600};
/// Delay before the first repetition of a failed call to the store; it doubles with each further
/// one.
constexpr milliseconds FirstRetryDelay {500};
constexpr milliseconds MaxRetryDelay {2000};
/// Maximum time after which the store may still execute an append that it has not answered. Such an
/// append would replace a newer record.
constexpr milliseconds MaxLateAppend {8000};

/// Time after which a record has no use: no heartbeat is that late.
constexpr std::chrono::minutes RecordLifetime {60};
/// Maximum number of expired records that one start of a daemon removes.
constexpr unsigned MaxRemovals = 4;

class LeftProcessRecords final : public Service
{
public:
    LeftProcessRecords(Kernel &kernel, std::shared_ptr<StoreClient> store, std::string daemonName)
        : m_kernel(kernel), m_store(std::move(store)), m_daemonName(std::move(daemonName)),
          m_mailbox(kernel.executor(),
                    [this](RecordLeftProcesses message) { handle(std::move(message)); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::LeftProcesses; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_registration = directory.find<RegistrationMessage>(ServiceName::Registration, ec);
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        readPage("");
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_callTimer);
        m_kernel.executor().cancel(m_replyTimer);
        m_store->cancelAll();
        m_waiting.clear();
        done();
    }

private:
    /// A request that waits for the store.
    struct WaitingReply
    {
        Reply<bool> recorded;
        TimePoint deadline;
    };

    TimePoint now() const { return m_kernel.executor().now(); }

    void handle(RecordLeftProcesses message)
    {
        m_wanted = std::move(message.processes);
        if (m_recorded == m_wanted) {
            message.recorded(true);
            return;
        }
        m_waiting.push_back({std::move(message.recorded), now() + MaxRecordingTime});
        if (m_waiting.size() == 1) {
            armReplyTimer();
        }
        // Without the predecessor's record, an append would replace it.
        if (m_recorded && !m_callPending) {
            appendRecord();
        }
    }

    void armReplyTimer()
    {
        m_replyTimer = m_kernel.executor().scheduleAfter(m_waiting.front().deadline - now(),
                                                         [this] { expireReplies(); });
    }

    void expireReplies()
    {
        while (!m_waiting.empty() && m_waiting.front().deadline <= now()) {
            m_waiting.front().recorded(false);
            m_waiting.erase(m_waiting.begin());
        }
        if (!m_waiting.empty()) {
            armReplyTimer();
        }
    }

    void replyToAll()
    {
        m_kernel.executor().cancel(m_replyTimer);
        for (const WaitingReply &waiting : std::exchange(m_waiting, {})) {
            waiting.recorded(true);
        }
    }

    void repeatAfterFailure(Task call)
    {
        m_callTimer = m_kernel.executor().scheduleAfter(m_retryDelay, std::move(call));
        m_retryDelay = std::min(2 * m_retryDelay, MaxRetryDelay);
    }

    void readPage(const std::string &after)
    {
        m_callPending = true;
        m_store->readNewest(LeftProcessesTopic, after, StoreClient::MaxAnswerBytes,
                            [this](const NewestRecords &newest) {
                                if (!m_stopped) {
                                    pageRead(newest);
                                }
                            });
    }

    void pageRead(const NewestRecords &newest)
    {
        if (newest.ec) {
            m_records.clear();
            repeatAfterFailure([this] { readPage(""); });
            return;
        }
        std::ranges::copy(newest.records, std::back_inserter(m_records));
        if (newest.hasMore && !newest.records.empty()) {
            readPage(newest.records.back().key);
            return;
        }
        m_callPending = false;
        m_retryDelay = FirstRetryDelay;
        recordsRead(std::exchange(m_records, {}), newest.end);
    }

    void recordsRead(const std::vector<StoreRecord> &records, std::uint64_t end)
    {
        m_recorded.emplace();
        for (const StoreRecord &record : records) {
            std::vector<LeftProcess> processes = decodeRecord(record);
            if (record.key == m_daemonName) {
                m_recorded = std::move(processes);
            } else if (record.value && isExpired(processes)) {
                m_expired.push_back(record.key);
            }
        }
        m_telemetry.send(LogEvent {"backend.leftRead", "",
                                   "processes=" + std::to_string(m_recorded->size())
                                       + " records=" + std::to_string(records.size())});
        m_registration.send(PredecessorRecordRead {*m_recorded});
        removeExpired(end, MaxRemovals);
    }

    std::vector<LeftProcess> decodeRecord(const StoreRecord &record)
    {
        JsonFault fault;
        std::vector<LeftProcess> processes
            = decodeLeftProcesses(record.value.value_or("{}"), fault);
        if (!fault.rule.empty()) {
            m_telemetry.send(LogEvent {"backend.leftMalformed", "",
                                       "key=" + record.key + ' ' + formatFault(fault)});
        }
        return processes;
    }

    static bool isExpired(std::span<const LeftProcess> processes)
    {
        const std::int64_t oldest = unixMs() - milliseconds(RecordLifetime).count();
        return std::ranges::all_of(processes, [oldest](const LeftProcess &process) {
            return process.announcedAtMs < oldest;
        });
    }

    /// Removes expired records one after the other, and stops when the topic changes meanwhile,
    /// since the change may be a new record of the same daemon.
    void removeExpired(std::uint64_t end, unsigned remaining)
    {
        if (m_expired.empty() || remaining == 0) {
            m_expired.clear();
            return;
        }
        const StoreRecord removal {m_expired.back(), std::nullopt, 0};
        m_expired.pop_back();
        m_store->append(LeftProcessesTopic, removal, end,
                        [this, remaining](const RecordAppended &result) {
                            if (!m_stopped && !result.ec) {
                                removeExpired(result.end, remaining - 1);
                            }
                        });
    }

    void appendRecord()
    {
        m_callPending = true;
        const StoreRecord record {m_daemonName, encodeLeftProcesses(m_wanted), 0};
        m_store->append(LeftProcessesTopic, record, std::nullopt,
                        [this, appended = m_wanted](const RecordAppended &result) {
                            if (!m_stopped) {
                                recordAppended(appended, result.ec);
                            }
                        });
    }

    void recordAppended(const std::vector<LeftProcess> &appended, std::error_code ec)
    {
        if (ec) {
            m_lateAppendUntil = now() + MaxLateAppend;
            repeatAfterFailure([this] { appendRecord(); });
            return;
        }
        m_callPending = false;
        m_retryDelay = FirstRetryDelay;
        m_recorded = appended;
        if (m_wanted != appended) {
            appendRecord();
            return;
        }
        replyToAll();
        if (m_lateAppendUntil > now()) {
            m_callTimer = m_kernel.executor().scheduleAfter(m_lateAppendUntil - now(), [this] {
                if (!m_callPending) {
                    appendRecord();
                }
            });
        }
    }

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    std::string m_daemonName;
    /// Newest content of the record; std::nullopt until it is read.
    std::optional<std::vector<LeftProcess>> m_recorded;
    /// Records of the pages that have been read so far.
    std::vector<StoreRecord> m_records;
    /// Keys of expired records of other daemons.
    std::vector<std::string> m_expired;
    /// Content that the record should have.
    std::vector<LeftProcess> m_wanted;
    /// Requests that wait for the store, the oldest one first.
    std::vector<WaitingReply> m_waiting;
    /// True while a call is in flight or will be repeated.
    bool m_callPending = false;
    bool m_stopped = false;
    milliseconds m_retryDelay = FirstRetryDelay;
    TimePoint m_lateAppendUntil {};
    TimerId m_callTimer = 0;
    TimerId m_replyTimer = 0;
    Address<RegistrationMessage> m_registration;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<RecordLeftProcesses> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeLeftProcessRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                                std::string daemonName)
{
    return std::make_unique<LeftProcessRecords>(kernel, std::move(store), std::move(daemonName));
}

} // namespace Coltsfootwell
