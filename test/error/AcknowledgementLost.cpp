// Guards against a daemon that acknowledges the shutdown of its backend server although only its
// own memory holds it, and against records of left processes that are lost or replaced by older
// ones.
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"
#include "services/BackendMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/LeftProcessRecords.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "services/UnixTime.h"
#include "support/FakeKeyedStore.h"
#include "wire/LeftProcessJson.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

const LeftProcess First {"i-1", 1000, 2000};
const LeftProcess Second {"i-2", 0, 3000};

struct Fixture
{
    Fixture() : store(std::make_shared<FakeKeyedStore>(executor))
    {
        kernel.directory().publish(ServiceName::Registration, registration.address());
        kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
        kernel.directory().publish(ServiceName::Membership, membership.address());
        kernel.directory().publish(ServiceName::Configuration, configuration.address());
    }

    void start()
    {
        service = makeLeftProcessRecords(kernel, store, "h1");
        service->start();
        executor.runReady();
    }

    /// \return the answer to a request to record the processes: 1 recorded, 0 not recorded, -1
    /// none.
    std::shared_ptr<int> record(std::vector<LeftProcess> processes)
    {
        auto answer = std::make_shared<int>(-1);
        std::error_code ec;
        kernel.directory()
            .find<RecordLeftProcesses>(ServiceName::LeftProcesses, ec)
            .send({std::move(processes),
                   Reply<bool>(executor, [answer](std::optional<bool> recorded) {
                       *answer = recorded.value_or(false) ? 1 : 0;
                   })});
        executor.runReady();
        return answer;
    }

    std::vector<LeftProcess> storedProcesses(std::string_view key = "h1") const
    {
        const auto it = std::ranges::find(store->records, key, &StoreRecord::key);
        JsonFault fault;
        return it == store->records.end() ? std::vector<LeftProcess>()
                                          : decodeLeftProcesses(*it->value, fault);
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::optional<std::vector<LeftProcess>> predecessors;
    std::vector<std::string> events;
    Mailbox<RegistrationMessage> registration {
        executor, [this](RegistrationMessage message) {
            if (auto *read = std::get_if<PredecessorRecordRead>(&message)) {
                predecessors = read->processes;
            }
        }};
    Mailbox<MembershipMessage> membership {executor, [](const MembershipMessage &) {}};
    Mailbox<ConfigurationMessage> configuration {executor, [](const ConfigurationMessage &) {}};
    Mailbox<TelemetryMessage> telemetry {executor, [this](TelemetryMessage message) {
                                             if (auto *event = std::get_if<LogEvent>(&message)) {
                                                 events.emplace_back(event->event);
                                             }
                                         }};
    std::shared_ptr<FakeKeyedStore> store;
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE("a shutdown counts as recorded once the store has it")
{
    Fixture fixture;
    fixture.start();
    CHECK(fixture.predecessors->empty());
    CHECK(*fixture.record({First}) == 1);
    CHECK(fixture.storedProcesses() == std::vector {First});
    CHECK(*fixture.record({First}) == 1);
    CHECK(fixture.store->appends == 1);
}

TEST_CASE("without the store, the answer comes before the server gives up, and the record later")
{
    Fixture fixture;
    fixture.start();
    fixture.store->available = false;
    const auto answer = fixture.record({First});
    fixture.executor.advance(599ms);
    CHECK(*answer == -1);
    fixture.executor.advance(1ms);
    CHECK(*answer == 0);
    fixture.store->available = true;
    fixture.executor.advance(2s);
    CHECK(fixture.storedProcesses() == std::vector {First});
}

TEST_CASE("the predecessor's record is read before it is replaced")
{
    Fixture fixture;
    fixture.store->records = {{"h1", encodeLeftProcesses(std::vector {First}), 0}};
    fixture.store->available = false;
    fixture.start();
    const auto answer = fixture.record({Second});
    fixture.executor.advance(1s);
    CHECK_FALSE(fixture.predecessors);
    CHECK(*answer == 0);
    fixture.store->available = true;
    fixture.executor.advance(2s);
    CHECK(fixture.predecessors == std::vector {First});
    CHECK(fixture.storedProcesses() == std::vector {First});
    CHECK(*fixture.record({First, Second}) == 1);
    CHECK(fixture.storedProcesses() == std::vector {First, Second});
}

TEST_CASE("an append that the store executes late does not remain the newest record")
{
    Fixture fixture;
    fixture.start();
    fixture.store->available = false;
    fixture.record({First});
    fixture.store->available = true;
    fixture.executor.advance(1s);
    CHECK(*fixture.record({First, Second}) == 1);
    // The first append, whose answer was lost, is executed six seconds late.
    fixture.store->records = {{"h1", encodeLeftProcesses(std::vector {First}), 0}};
    fixture.executor.advance(8s);
    CHECK(fixture.storedProcesses() == std::vector {First, Second});
}

TEST_CASE("a malformed record is reported and replaced by the next one")
{
    Fixture fixture;
    fixture.store->records = {{"h1", R"({"left":[{"startMs":1}]})", 0}};
    fixture.start();
    CHECK(std::ranges::count(fixture.events, "backend.leftMalformed") == 1);
    CHECK(fixture.predecessors->empty());
    CHECK(*fixture.record({First}) == 1);
}

TEST_CASE("records of daemons that are gone are removed, and newer ones are kept")
{
    Fixture fixture;
    const LeftProcess recent {"i-9", 1, unixMs()};
    fixture.store->records = {{"h0", encodeLeftProcesses(std::vector {First}), 0},
                              {"h1", encodeLeftProcesses(std::vector {First}), 1},
                              {"h2", encodeLeftProcesses(std::vector {First, recent}), 2}};
    fixture.start();
    CHECK(fixture.storedProcesses("h0").empty());
    CHECK(fixture.storedProcesses() == std::vector {First});
    CHECK(fixture.storedProcesses("h2").size() == 2);
}
