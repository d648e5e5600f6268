#include "services/DaemonRecords.h"

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

constexpr std::string_view Topic = "keyed.daemons";
/// All daemons may start at the same moment; the store takes a bounded number of calls a second.
constexpr milliseconds StartSpread {300};
constexpr milliseconds RetryDelay {500};
/// Delays between readings. Later ones heal a group that has lost contact with the others.
constexpr std::array<milliseconds, 4> ReadDelays {milliseconds(200), milliseconds(800),
                                                  milliseconds(5'000), milliseconds(60'000)};

class DaemonRecords final : public Service
{
public:
    DaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store, DaemonId self,
                  Endpoint endpoint)
        : m_kernel(kernel), m_store(std::move(store)), m_self(std::move(self)),
          m_endpoint(std::move(endpoint))
    {
    }

    std::string_view name() const override { return ServiceName::DaemonRecords; }

    std::error_code start() override
    {
        std::error_code ec;
        m_membership
            = m_kernel.directory().find<MembershipMessage>(ServiceName::Membership, ec);
        if (!ec) {
            m_telemetry = m_kernel.directory().find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        const auto spread = milliseconds(m_kernel.random().below(StartSpread.count()));
        later(spread, [this] { append(); });
        return ec ? make_error_code(ServiceError::MissingService) : std::error_code();
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_timer);
        m_store->stop();
        done();
    }

private:
    void later(Duration delay, Task task)
    {
        m_timer = m_kernel.executor().after(delay, std::move(task));
    }

    void append()
    {
        const StoreRecord record {m_self.name, endpointText(m_endpoint), 0};
        m_store->append(Topic, record, std::nullopt, [this](const RecordAppended &appended) {
            if (m_stopped) {
                return;
            }
            if (appended.ec) {
                later(RetryDelay, [this] { append(); });
                return;
            }
            later(ReadDelays[0], [this] { read(""); });
        });
    }

    void read(const std::string &after)
    {
        m_store->newest(Topic, after, [this](const NewestRecords &newest) {
            if (m_stopped) {
                return;
            }
            if (newest.ec) {
                later(RetryDelay, [this] { read(""); });
                return;
            }
            learn(newest.records);
            if (newest.hasMore && !newest.records.empty()) {
                read(newest.records.back().key);
                return;
            }
            m_reads = std::min(m_reads + 1, ReadDelays.size() - 1);
            later(ReadDelays[m_reads], [this] { read(""); });
        });
    }

    void learn(const std::vector<StoreRecord> &records)
    {
        SeedsLearned seeds;
        for (const StoreRecord &record : records) {
            const auto endpoint = record.value ? endpointFromText(*record.value) : std::nullopt;
            if (endpoint && record.key != m_self.name) {
                seeds.endpoints.push_back(*endpoint);
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
    Endpoint m_endpoint;
    std::size_t m_reads = 0;
    bool m_stopped = false;
    TimerId m_timer = 0;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
};

} // namespace

std::unique_ptr<Service> makeDaemonRecords(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           DaemonId self, Endpoint endpoint)
{
    return std::make_unique<DaemonRecords>(kernel, std::move(store), std::move(self),
                                           std::move(endpoint));
}

} // namespace Coltsfootwell
