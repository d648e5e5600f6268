#include "services/DaemonRecords.h"

#include "decisions/StoreReaders.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/EndpointText.h"

#include <array>

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

class DaemonRecords final : public Service
{
public:
    DaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store, DaemonId self,
                  DaemonAddresses addresses)
        : m_kernel(kernel), m_store(std::move(store)), m_self(std::move(self)),
          m_addresses(std::move(addresses)),
          m_membersMailbox(kernel.executor(), [this](MembersChanged message) {
              m_members = std::move(message.members);
          })
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
        m_membership.send(SubscribeMembers {m_membersMailbox.address()});
        const auto startDelay = milliseconds(m_kernel.random().below(MaxStartDelay.count()));
        schedule(startDelay, [this] { appendRecord(); });
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_timer);
        m_store->cancelAll();
        done();
    }

private:
    void schedule(Duration delay, Task task)
    {
        m_timer = m_kernel.executor().scheduleAfter(delay, std::move(task));
    }

    void appendRecord()
    {
        const StoreRecord record {m_self.name, encodeAddresses(m_addresses), 0};
        m_store->append(DaemonRecordsTopic, record, std::nullopt,
                        [this](const RecordAppended &appended) {
                            if (m_stopped) {
                                return;
                            }
                            if (appended.ec) {
                                schedule(RetryDelay, [this] { appendRecord(); });
                                return;
                            }
                            schedule(ReadDelays[0], [this] { readPage(""); });
                        });
    }

    void readPage(const std::string &after)
    {
        m_store->readNewest(DaemonRecordsTopic, after, StoreClient::MaxAnswerBytes,
                            [this](const NewestRecords &newest) {
                                if (m_stopped) {
                                    return;
                                }
                                if (newest.ec) {
                                    schedule(RetryDelay, [this] { readPage(""); });
                                    return;
                                }
                                publishSeeds(newest.records);
                                if (newest.hasMore && !newest.records.empty()) {
                                    readPage(newest.records.back().key);
                                    return;
                                }
                                scheduleNextRead();
                            });
    }

    void scheduleNextRead()
    {
        m_readDelayIndex = std::min(m_readDelayIndex + 1, ReadDelays.size() - 1);
        schedule(ReadDelays[m_readDelayIndex], [this] {
            const bool shouldRead = !m_members || isStoreReader(m_self.name, *m_members);
            shouldRead ? readPage("") : scheduleNextRead();
        });
    }

    void publishSeeds(const std::vector<StoreRecord> &records)
    {
        SeedsDiscovered seeds;
        for (const StoreRecord &record : records) {
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

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    DaemonId m_self;
    DaemonAddresses m_addresses;
    std::shared_ptr<const std::vector<Member>> m_members;
    std::size_t m_readDelayIndex = 0;
    bool m_stopped = false;
    TimerId m_timer = 0;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<MembersChanged> m_membersMailbox;
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
