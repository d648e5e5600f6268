// Guards against all daemons periodically reading the addresses of all others from the store: with
// 1,000 daemons each round of reads transferred 100 MB over shared links.
#include "kernel/ManualExecutor.h"
#include "services/ConfigurationMessages.h"
#include "services/DaemonRecords.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

/// A store that counts the reads of the addresses.
class CountingStore final : public StoreClient
{
public:
    explicit CountingStore(Executor &executor) : m_executor(executor) { }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        ++reads;
        m_executor.post([done] { done({}); });
    }

    void read(std::string_view, std::uint64_t, std::chrono::milliseconds,
              std::function<void(RecordsRead)>) override
    {
    }

    void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                std::function<void(RecordAppended)> done) override
    {
        m_executor.post([done] { done({}); });
    }

    bool isReceiving() const override { return false; }
    void cancelAll() override { }

    unsigned reads = 0;

private:
    Executor &m_executor;
};

/// \param daemons number of daemons in the data centre.
/// \return number of reads of each daemon in five minutes.
std::vector<unsigned> readsPerDaemon(std::size_t daemons)
{
    std::vector<Member> members(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        members[i].id = {"daemon-" + std::to_string(i), 1};
        members[i].dataCentre = "klang-a";
    }
    std::vector<unsigned> reads;
    for (const Member &self : members) {
        ManualExecutor executor;
        SeededRandom random(1);
        Kernel kernel(executor, random);
        const auto store = std::make_shared<CountingStore>(executor);
        const Mailbox<TelemetryMessage> telemetry(executor, [](const TelemetryMessage &) {});
        const Mailbox<MembershipMessage> membership(
            executor, [&members](const MembershipMessage &message) {
                if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                    subscribe->subscriber.send(
                        MembersChanged {std::make_shared<const std::vector<Member>>(members)});
                }
            });
        const Mailbox<ConfigurationMessage> configuration(executor,
                                                          [](const ConfigurationMessage &) {});
        kernel.directory().publish(ServiceName::Configuration, configuration.address());
        kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
        kernel.directory().publish(ServiceName::Membership, membership.address());
        kernel.add(makeDaemonRecords(kernel, store, self.id, {}));
        REQUIRE_FALSE(kernel.start());
        executor.advance(5min);
        reads.push_back(store->reads);
    }
    return reads;
}

} // namespace

TEST_CASE("each daemon reads the addresses once, and only the store readers repeat the read")
{
    const std::vector<unsigned> reads = readsPerDaemon(20);
    CHECK(std::ranges::count(reads, 1U) == 18);
    CHECK(std::ranges::count_if(reads, [](unsigned n) { return n >= 7; }) == 2);
}

TEST_CASE("a daemon without other members repeats the read of the addresses")
{
    CHECK(readsPerDaemon(1)[0] >= 7);
}
