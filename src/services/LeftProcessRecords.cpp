#include "services/LeftProcessRecords.h"

#include "decisions/RecordRewrite.h"
#include "services/BackendMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "services/UnixTime.h"
#include "wire/LeftProcessJson.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
                    [this](RecordLeftProcesses message) { handle(std::move(message)); }),
          m_membersMailbox(
              kernel.executor(),
              [this](const MembersChanged &message) { m_daemons = message.members->size(); }),
          m_epochMailbox(kernel.executor(),
                         [this](const StoreEpochChanged &message) { epochSeen(message.epoch); })
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
        if (!ec) {
            directory.find<MembershipMessage>(ServiceName::Membership, ec)
                .send(SubscribeMembers {m_membersMailbox.address()});
        }
        if (!ec) {
            directory.find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeStoreEpoch {m_epochMailbox.address()});
        }
        readPage("");
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_callTimer);
        m_kernel.executor().cancel(m_replyTimer);
        m_kernel.executor().cancel(m_rewriteTimer);
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
        if (m_recorded == m_wanted && !m_rewrite.isDue()) {
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

    /// Replaces a call that is already scheduled.
    void scheduleCall(Duration delay, Task call)
    {
        m_kernel.executor().cancel(m_callTimer);
        m_callTimer = m_kernel.executor().scheduleAfter(delay, std::move(call));
    }

    Duration nextRetryDelay()
    {
        return std::exchange(m_retryDelay, std::min(2 * m_retryDelay, MaxRetryDelay));
    }

    void epochSeen(std::optional<StoreEpoch> epoch)
    {
        m_rewrite.epochSeen(epoch);
        if (!m_stopped && m_rewrite.isDue() && !m_rewritePending) {
            scheduleRewrite({});
        }
    }

    void scheduleRewrite(Duration minDelay)
    {
        m_rewritePending = true;
        m_rewriteTimer = m_kernel.executor().scheduleAfter(
            minDelay + RecordRewrite::randomDelay(m_daemons, m_kernel.random()), [this] {
                m_rewritePending = false;
                // An append in flight that the store may have lost is repeated when it ends.
                if (m_rewrite.isDue() && !m_callPending) {
                    appendRecord();
                }
            });
    }

    void readPage(const std::string &after)
    {
        m_callPending = true;
        m_store->readNewest(LeftProcessesTopic, after, StoreClient::MaxAnswerBytes,
                            [this, epoch = m_rewrite.epoch()](const NewestRecords &newest) {
                                if (!m_stopped) {
                                    pageRead(newest, newest.epoch.value_or(epoch));
                                }
                            });
    }

    void pageRead(const NewestRecords &newest, StoreEpoch epoch)
    {
        m_rewrite.epochSeen(epoch);
        if (newest.ec) {
            m_records.clear();
            m_readEpoch.reset();
            scheduleCall(nextRetryDelay(), [this] { readPage(""); });
            return;
        }
        // The store may return between two pages.
        m_readEpoch = std::min(m_readEpoch.value_or(epoch), epoch);
        std::ranges::copy(newest.records, std::back_inserter(m_records));
        if (newest.hasMore && !newest.records.empty()) {
            readPage(newest.records.back().key);
            return;
        }
        m_callPending = false;
        m_retryDelay = FirstRetryDelay;
        recordsRead(std::exchange(m_records, {}), {newest.end, *m_readEpoch});
    }

    void recordsRead(const std::vector<StoreRecord> &records, const StorePosition &end)
    {
        m_recorded.emplace();
        for (const StoreRecord &record : records) {
            std::vector<LeftProcess> processes = decodeRecord(record);
            if (record.key == m_daemonName) {
                m_recorded = std::move(processes);
                m_rewrite.stored(end.epoch);
            } else if (record.value && isExpired(processes)) {
                m_expired.push_back(record.key);
            }
        }
        m_wanted = mergedLeftProcesses(*m_recorded, m_wanted);
        m_telemetry.send(LogEvent {"backend.leftRead", "",
                                   "processes=" + std::to_string(m_recorded->size())
                                       + " records=" + std::to_string(records.size())});
        m_registration.send(PredecessorRecordRead {*m_recorded});
        epochSeen(end.epoch);
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
    /// since the change may be a new record of the same daemon. After a return of the store, a
    /// topic with other content may have the same end.
    void removeExpired(const StorePosition &end, unsigned remaining)
    {
        if (m_expired.empty() || remaining == 0 || end.epoch != m_rewrite.epoch()) {
            m_expired.clear();
            return;
        }
        const StoreRecord removal {m_expired.back(), std::nullopt, 0};
        m_expired.pop_back();
        m_store->append(LeftProcessesTopic, removal, end.offset,
                        [this, remaining, epoch = end.epoch](const RecordAppended &result) {
                            if (m_stopped) {
                                return;
                            }
                            epochSeen(result.epoch);
                            if (!result.ec) {
                                removeExpired({result.end, epoch}, remaining - 1);
                            }
                        });
    }

    void appendRecord()
    {
        m_callPending = true;
        const StoreRecord record {m_daemonName, encodeLeftProcesses(m_wanted), 0};
        m_store->append(
            LeftProcessesTopic, record, std::nullopt,
            [this, appended = m_wanted, epoch = m_rewrite.epoch()](const RecordAppended &result) {
                if (!m_stopped) {
                    recordAppended(appended, result, result.epoch.value_or(epoch));
                }
            });
    }

    /// \param epoch epoch of the result.
    void recordAppended(const std::vector<LeftProcess> &appended, const RecordAppended &result,
                        StoreEpoch epoch)
    {
        const bool wasRewrite = m_rewrite.isDue();
        m_rewrite.epochSeen(epoch);
        if (result.ec) {
            m_lateAppendUntil = now() + MaxLateAppend;
        } else {
            m_rewrite.stored(epoch);
        }
        if (result.ec || m_rewrite.isDue()) {
            repeatAppend();
            return;
        }
        m_callPending = false;
        m_retryDelay = FirstRetryDelay;
        m_recorded = appended;
        if (wasRewrite) {
            m_telemetry.send(LogEvent {"backend.leftRewritten", "",
                                       "processes=" + std::to_string(appended.size())
                                           + " epoch=" + std::to_string(epoch)});
        }
        if (m_wanted != appended) {
            appendRecord();
            return;
        }
        replyToAll();
        if (m_lateAppendUntil > now()) {
            scheduleCall(m_lateAppendUntil - now(), [this] {
                if (!m_callPending) {
                    appendRecord();
                }
            });
        }
    }

    /// Repeats an append that has failed or that the store has lost.
    void repeatAppend()
    {
        if (m_rewrite.isDue() && m_recorded == m_wanted && m_waiting.empty()) {
            // No request depends on it, and all daemons may have to repeat theirs at once.
            m_callPending = false;
            if (!m_rewritePending) {
                scheduleRewrite(nextRetryDelay());
            }
            return;
        }
        scheduleCall(nextRetryDelay(), [this] { appendRecord(); });
    }

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    std::string m_daemonName;
    /// Newest content of the record; std::nullopt until it is read.
    std::optional<std::vector<LeftProcess>> m_recorded;
    /// Records of the pages that have been read so far.
    std::vector<StoreRecord> m_records;
    /// Earliest epoch of these pages; std::nullopt before the first one.
    std::optional<StoreEpoch> m_readEpoch;
    /// Keys of expired records of other daemons.
    std::vector<std::string> m_expired;
    /// Content that the record should have.
    std::vector<LeftProcess> m_wanted;
    /// Requests that wait for the store, the oldest one first.
    std::vector<WaitingReply> m_waiting;
    /// True while a call is in flight or will be repeated.
    bool m_callPending = false;
    RecordRewrite m_rewrite;
    /// True while a rewrite is scheduled.
    bool m_rewritePending = false;
    /// Number of daemons in the member list.
    std::size_t m_daemons = 1;
    bool m_stopped = false;
    milliseconds m_retryDelay = FirstRetryDelay;
    TimePoint m_lateAppendUntil {};
    TimerId m_callTimer = 0;
    TimerId m_replyTimer = 0;
    TimerId m_rewriteTimer = 0;
    Address<RegistrationMessage> m_registration;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<RecordLeftProcesses> m_mailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<StoreEpochChanged> m_epochMailbox;
};

} // namespace

std::unique_ptr<Service> makeLeftProcessRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                                std::string daemonName)
{
    return std::make_unique<LeftProcessRecords>(kernel, std::move(store), std::move(daemonName));
}

} // namespace Coltsfootwell
