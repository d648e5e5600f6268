// Guards against a daemon that finds no other one, because the store has the addresses of many
// hosts that are gone, and against records of living daemons that are removed.
#include "MembershipSimulation.h"
#include "kernel/ManualExecutor.h"
#include "services/ConfigurationMessages.h"
#include "services/DaemonRecordExpiry.h"
#include "services/DaemonRecords.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "support/FakeKeyedStore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// Address of a host that is gone.
Endpoint deadEndpoint(std::size_t i)
{
    return {"10.9." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1), 7000};
}

/// \return the time until all daemons know each other after all of them have started at once.
/// \param deadFirst true if the addresses of hosts that are gone come before the living ones.
std::optional<Duration> joinTime(std::size_t daemons, std::size_t dead, bool deadFirst)
{
    MembershipSimulation simulation(testSeed("dead-daemons", 31));
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < daemons; ++i) {
        seeds.push_back(MembershipSimulation::endpointOf(i));
    }
    for (std::size_t i = 0; i < dead; ++i) {
        seeds.insert(deadFirst ? seeds.begin() : seeds.end(), deadEndpoint(i));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        simulation.start("h" + std::to_string(i), "klang", "klang-a", {})
            .membership->seedsDiscovered(seeds);
    }
    return simulation.runUntil([&] { return simulation.allHaveAliveCount(daemons); }, 120s);
}

/// The service "daemon-records" of the daemon h1, alone in its data centre.
struct RecordsFixture
{
    RecordsFixture()
    {
        kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
        kernel.directory().publish(ServiceName::Membership, membership.address());
        kernel.directory().publish(ServiceName::Configuration, configuration.address());
        members.resize(1);
        members[0].id = {"h1", 1};
        store->records = {{"gone", "10.0.0.9:7600 10.0.0.9:8629", 0}};
        store->end = 1;
    }

    void start()
    {
        service = makeDaemonRecords(kernel, store, {"h1", 1}, {{"10.0.0.1", 7600}, {}});
        service->start();
    }

    /// Appends a record as another daemon does.
    void renew(const std::string &name)
    {
        store->append(DaemonRecordsTopic, {name, "10.0.0.9:7600 10.0.0.9:8629", 0}, std::nullopt,
                      [](const RecordAppended &) {});
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::vector<Member> members;
    std::vector<Endpoint> seeds;
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    Mailbox<ConfigurationMessage> configuration {executor, [](const ConfigurationMessage &) {}};
    Mailbox<MembershipMessage> membership {
        executor, [this](const MembershipMessage &message) {
            if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                subscribe->subscriber.send(
                    MembersChanged {std::make_shared<const std::vector<Member>>(members)});
            } else if (const auto *discovered = std::get_if<SeedsDiscovered>(&message)) {
                seeds = discovered->endpoints;
            }
        }};
    std::shared_ptr<FakeKeyedStore> store = std::make_shared<FakeKeyedStore>(executor);
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE(
    "daemons that all start at once find each other among many addresses of hosts that are gone")
{
    // The newest records come first, and after a restart of all daemons these are of living ones.
    for (const std::size_t dead : {0, 70, 700, 7000}) {
        const auto took = joinTime(14, dead, false);
        REQUIRE(took);
        MESSAGE("14 daemons, " << dead << " dead records: "
                               << std::chrono::duration<double>(*took).count() << " s");
        CHECK(*took <= 15s);
    }
}

TEST_CASE(
    "a hundred daemons that start at once find each other among addresses of hosts that are gone")
{
    for (const std::size_t dead : {0, 7000}) {
        const auto took = joinTime(100, dead, false);
        REQUIRE(took);
        MESSAGE("100 daemons, " << dead << " dead records: "
                                << std::chrono::duration<double>(*took).count() << " s");
        CHECK(*took <= 15s);
    }
}

TEST_CASE("daemons find each other although the addresses of hosts that are gone come first")
{
    // The order tells nothing, such as after a loss of the store's offsets.
    for (const std::size_t dead : {70, 700}) {
        const auto took = joinTime(14, dead, true);
        REQUIRE(took);
        MESSAGE("14 daemons behind " << dead << " dead records: "
                                     << std::chrono::duration<double>(*took).count() << " s");
        CHECK(*took <= 15s);
    }
}

TEST_CASE("a daemon pings a bounded number of seeds at once")
{
    SeededRandom random(1);
    Member self;
    self.id = {"h1", 1};
    self.endpoint = MembershipSimulation::endpointOf(0);
    Membership membership(self, {}, random);
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < 7000; ++i) {
        seeds.push_back(deadEndpoint(i));
    }
    TimePoint now = TimePoint() + 10s;
    membership.tick(now);
    membership.seedsDiscovered(seeds);
    std::size_t pings = 0;
    for (int i = 0; i < 10; ++i) {
        now += 100ms;
        const std::size_t n = membership.tick(now).size();
        CHECK(n <= Membership::MaxSeedPings);
        pings += n;
    }
    // One part in each SeedBatchInterval, of ticks each 100 ms.
    CHECK(pings <= 4 * Membership::MaxSeedPings);
}

TEST_CASE("the addresses of the newest records come first")
{
    RecordsFixture fixture;
    fixture.store->records.push_back({"a", "10.0.0.2:7600 10.0.0.2:8629", 7});
    fixture.store->end = 8;
    fixture.start();
    fixture.executor.advance(2s);
    REQUIRE(fixture.seeds.size() == 2);
    CHECK(fixture.seeds[0].address == "10.0.0.2");
}

TEST_CASE("a record that no daemon renews is removed, and one that is renewed is kept")
{
    RecordsFixture fixture;
    fixture.start();
    for (int i = 0; i < 4 * 60; ++i) {
        fixture.executor.advance(1min);
        if (i % 30 == 0) {
            fixture.renew("partitioned");
        }
        CHECK(fixture.store->contains("partitioned"));
        CHECK(fixture.store->contains("h1"));
    }
    CHECK_FALSE(fixture.store->contains("gone"));
}

TEST_CASE("the record of a member that is not down is kept although it is not renewed")
{
    RecordsFixture fixture;
    fixture.members.emplace_back().id = {"gone", 1};
    fixture.start();
    fixture.executor.advance(5h);
    CHECK(fixture.store->contains("gone"));
}

TEST_CASE("an outage of the store lets no record expire")
{
    RecordsFixture fixture;
    fixture.start();
    fixture.executor.advance(1min);
    fixture.store->available = false;
    fixture.executor.advance(6h);
    fixture.store->available = true;
    fixture.executor.advance(2h);
    CHECK(fixture.store->contains("gone"));
    fixture.executor.advance(2h);
    CHECK_FALSE(fixture.store->contains("gone"));
}

TEST_CASE("a daemon renews its record, which shows the others that it is in use")
{
    RecordsFixture fixture;
    fixture.start();
    fixture.executor.advance(1min);
    const std::uint64_t end = fixture.store->end;
    fixture.executor.advance(1h);
    CHECK(fixture.store->end >= end + 2);
    CHECK(fixture.store->end <= end + 4);
}
