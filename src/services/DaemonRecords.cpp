#include "services/DaemonRecords.h"

#include "decisions/RecordRewrite.h"
#include "decisions/StoreReaders.h"
#include "services/ConfigurationMessages.h"
#include "services/DaemonRecordExpiry.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/EndpointText.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <utility>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum of the random delay before the first call: all daemons may start at the same moment, and
/// the store accepts a limited number of calls per second.
constexpr milliseconds MaxStartDelay {300};
/// Delay before a failed call to the store is repeated.
constexpr milliseconds RetryDelay {500};
/// Delays before successive reads; the last one repeats. Later reads reconnect a partitioned group
/// of daemons with the others. Only store readers make them, which suffices for the whole group.
constexpr std::array<milliseconds, 4> ReadDelays {milliseconds(200), milliseconds(800),
                                                  milliseconds(5'000), milliseconds(60'000)};

/// Maximum interval between appends of the daemon's own record, which show that it is in use.
constexpr milliseconds RenewalInterval = milliseconds(DaemonRecordExpiry::Lifetime) / 6;
/// Delay before a failed renewal is repeated, and maximum delay before a failed rewrite is.
constexpr seconds RenewalRetryDelay {60};

class DaemonRecords final : public Service
{
public:
    DaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store, DaemonId self,
                  DaemonAddresses addresses)
        : m_kernel(kernel), m_store(std::move(store)), m_self(std::move(self)),
          m_addresses(std::move(addresses)),
          m_membersMailbox(
              kernel.executor(),
              [this](MembersChanged message) { m_members = std::move(message.members); }),
          m_epochMailbox(kernel.executor(),
                         [this](const StoreEpochChanged &message) { epochSeen(message.epoch); })
    {
    }

    std::string_view name() const override { return ServiceName::DaemonRecords; }

    std::error_code start() override
    {
        std::error_code ec;
        m_membership = m_kernel.directory().find<MembershipMessage>(ServiceName::Membership, ec);
        if (!ec) {
            m_telemetry = m_kernel.directory().find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            m_kernel.directory()
                .find<ConfigurationMessage>(ServiceName::Configuration, ec)
                .send(SubscribeStoreEpoch {m_epochMailbox.address()});
        }
        m_membership.send(SubscribeMembers {m_membersMailbox.address()});
        scheduleAppend(milliseconds(m_kernel.random().below(MaxStartDelay.count())));
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_readTimer);
        m_kernel.executor().cancel(m_appendTimer);
        m_store->cancelAll();
        done();
    }

private:
    // The record of this daemon. One append at a time is scheduled or in flight.

    StoreRecord ownRecord() const { return {m_self.name, encodeAddresses(m_addresses), 0}; }

    void scheduleAppend(Duration delay)
    {
        m_kernel.executor().cancel(m_appendTimer);
        m_appendTimer = m_kernel.executor().scheduleAfter(delay, [this] { appendRecord(); });
    }

    void appendRecord()
    {
        m_rewritePending = false;
        m_appendInFlight = true;
        m_store->append(DaemonRecordsTopic, ownRecord(), std::nullopt,
                        [this, epoch = m_rewrite.epoch()](const RecordAppended &appended) {
                            if (!m_stopped) {
                                recordAppended(appended, epoch);
                            }
                        });
    }

    /// \param epochAtCall latest known epoch at the time of the call, which an answer without an
    /// epoch counts for.
    void recordAppended(const RecordAppended &appended, StoreEpoch epochAtCall)
    {
        m_appendInFlight = false;
        const bool wasRewrite = m_rewrite.isDue();
        m_rewrite.epochSeen(appended.epoch);
        if (!appended.ec) {
            m_rewrite.stored(appended.epoch.value_or(epochAtCall));
            startReading();
        }
        if (m_rewrite.isDue()) {
            retryRewrite();
        } else if (appended.ec) {
            scheduleAppend(m_hasAppended ? Duration(RenewalRetryDelay) : Duration(RetryDelay));
        } else {
            if (wasRewrite) {
                m_telemetry.send(LogEvent {"daemons.rewritten", "",
                                           "epoch=" + std::to_string(m_rewrite.epoch())});
            }
            m_rewriteRetryDelay = RetryDelay;
            scheduleRenewal();
        }
    }

    void scheduleRenewal()
    {
        // A random part of the interval spreads the renewals of daemons that started together.
        scheduleAppend(RenewalInterval
                       - milliseconds(m_kernel.random().below(RenewalInterval.count() / 2)));
    }

    void epochSeen(std::optional<StoreEpoch> epoch)
    {
        m_rewrite.epochSeen(epoch);
        if (!m_stopped && m_rewrite.isDue() && !m_rewritePending && !m_appendInFlight) {
            scheduleRewrite({});
        }
    }

    void scheduleRewrite(Duration minDelay)
    {
        m_rewritePending = true;
        const std::size_t daemons = m_members ? m_members->size() : 1;
        scheduleAppend(minDelay + RecordRewrite::randomDelay(daemons, m_kernel.random()));
    }

    void retryRewrite()
    {
        scheduleRewrite(m_rewriteRetryDelay);
        m_rewriteRetryDelay = std::min(2 * m_rewriteRetryDelay, milliseconds(RenewalRetryDelay));
    }

    // The records of all daemons.

    void startReading()
    {
        if (!std::exchange(m_hasAppended, true)) {
            scheduleRead(ReadDelays[0], [this] { readPage(""); });
        }
    }

    void scheduleRead(Duration delay, Task task)
    {
        m_readTimer = m_kernel.executor().scheduleAfter(delay, std::move(task));
    }

    void readPage(const std::string &after)
    {
        if (after.empty()) {
            m_records.clear();
            m_readEpoch.reset();
        }
        m_store->readNewest(DaemonRecordsTopic, after, StoreClient::MaxAnswerBytes,
                            [this, epoch = m_rewrite.epoch()](const NewestRecords &newest) {
                                if (!m_stopped) {
                                    pageRead(newest, newest.epoch.value_or(epoch));
                                }
                            });
    }

    /// \param epoch epoch of the page.
    void pageRead(const NewestRecords &newest, StoreEpoch epoch)
    {
        epochSeen(epoch);
        if (newest.ec) {
            scheduleRead(RetryDelay, [this] { readPage(""); });
            return;
        }
        // The store may return between two pages.
        m_readEpoch = std::min(m_readEpoch.value_or(epoch), epoch);
        std::ranges::copy(newest.records, std::back_inserter(m_records));
        if (newest.hasMore && !newest.records.empty()) {
            readPage(newest.records.back().key);
            return;
        }
        publishSeeds();
        removeExpired(expiredRecords(), {newest.end, *m_readEpoch});
        scheduleNextRead();
    }

    std::vector<std::string> expiredRecords()
    {
        // Without the member list, no daemon is known to be down.
        return m_members
            ? m_expiry.recordsRead(m_records, *m_readEpoch, *m_members, m_kernel.executor().now())
            : std::vector<std::string>();
    }

    void scheduleNextRead()
    {
        m_readDelayIndex = std::min(m_readDelayIndex + 1, ReadDelays.size() - 1);
        scheduleRead(ReadDelays[m_readDelayIndex], [this] {
            const bool shouldRead = !m_members || isStoreReader(m_self.name, *m_members);
            shouldRead ? readPage("") : scheduleNextRead();
        });
    }

    void publishSeeds()
    {
        // A daemon appends its record when it starts, so that after a restart of all daemons the
        // newest records are those of living ones.
        std::ranges::sort(m_records, std::ranges::greater(), &StoreRecord::offset);
        SeedsDiscovered seeds;
        for (const StoreRecord &record : m_records) {
            const auto addresses = decodeAddresses(record.value.value_or(""));
            if (addresses && record.key != m_self.name) {
                seeds.endpoints.push_back(addresses->peers);
            }
        }
        m_telemetry.send(LogEvent {"daemons.read", "",
                                   "records=" + std::to_string(seeds.endpoints.size()),
                                   LogWeight::Routine});
        m_membership.send(std::move(seeds));
    }

    /// Removes records one after the other, and stops when the topic changes meanwhile, since the
    /// change may be a renewal of the next one. After a return of the store, a topic with other
    /// content may have the same end.
    /// \param end end of the topic to which the names refer.
    void removeExpired(std::vector<std::string> names, const StorePosition &end)
    {
        if (names.empty() || end.epoch != m_rewrite.epoch()) {
            return;
        }
        const StoreRecord removal {names.back(), std::nullopt, 0};
        names.pop_back();
        m_store->append(
            DaemonRecordsTopic, removal, end.offset,
            [this, names = std::move(names), name = removal.key,
             epoch = end.epoch](const RecordAppended &appended) {
                if (m_stopped) {
                    return;
                }
                epochSeen(appended.epoch);
                if (!appended.ec) {
                    m_telemetry.send(LogEvent {"daemons.removed", "", "daemon=" + name});
                    removeExpired(names, {appended.end, epoch});
                }
            });
    }

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    DaemonId m_self;
    DaemonAddresses m_addresses;
    std::shared_ptr<const std::vector<Member>> m_members;
    /// Records of the pages that have been read so far.
    std::vector<StoreRecord> m_records;
    /// Earliest epoch of these pages; std::nullopt before the first one.
    std::optional<StoreEpoch> m_readEpoch;
    DaemonRecordExpiry m_expiry;
    std::size_t m_readDelayIndex = 0;
    RecordRewrite m_rewrite;
    /// Minimum delay before a rewrite is repeated; it doubles with each failure.
    milliseconds m_rewriteRetryDelay = RetryDelay;
    /// True once an append has succeeded.
    bool m_hasAppended = false;
    bool m_appendInFlight = false;
    /// True if the scheduled append is a rewrite.
    bool m_rewritePending = false;
    bool m_stopped = false;
    TimerId m_appendTimer = 0;
    TimerId m_readTimer = 0;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<StoreEpochChanged> m_epochMailbox;
};

} // namespace

std::string encodeAddresses(const DaemonAddresses &addresses)
{
    return formatEndpoint(addresses.peers) + ' ' + formatEndpoint(addresses.callers);
}

std::optional<DaemonAddresses> decodeAddresses(std::string_view text)
{
    const std::size_t separator = text.find(' ');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto peers = parseEndpoint(text.substr(0, separator));
    const auto callers = parseEndpoint(text.substr(separator + 1));
    return peers && callers ? std::optional(DaemonAddresses {*peers, *callers}) : std::nullopt;
}

std::unique_ptr<Service> makeDaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           DaemonId self, DaemonAddresses addresses)
{
    return std::make_unique<DaemonRecords>(kernel, std::move(store), std::move(self),
                                           std::move(addresses));
}

} // namespace Coltsfootwell
