// Guards against records of living daemons that are removed since their offsets are compared across
// the return of the store from an older copy, in which offsets are given out again.
#include "kernel/ManualExecutor.h"
#include "services/DaemonRecords.h"
#include "services/LeftProcessRecords.h"
#include "support/FakeKeyedStore.h"
#include "support/NeighbourServices.h"
#include "wire/LeftProcessJson.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *Addresses = "10.0.0.9:7600 10.0.0.9:8629";

/// The daemon h1, alone in its data centre, at a store that names the epoch 1.
struct Fixture
{
    Fixture()
    {
        neighbours.members.resize(1);
        neighbours.members[0].id = {"h1", 1};
        store->epoch = 1;
    }

    void startDaemonRecords()
    {
        service = makeDaemonRecords(kernel, store, {"h1", 1}, {{"10.0.0.1", 7600}, {}});
        REQUIRE_FALSE(service->start());
    }

    /// Lets the store return from a copy just before it executes the first removal. The copy has
    /// the records of hosts that are gone, and by chance the same end.
    void returnBeforeFirstRemoval()
    {
        store->beforeAppend = [this](const StoreRecord &record) {
            if (!record.value) {
                store->beforeAppend = nullptr;
                store->returnFrom(store->copy());
            }
        };
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    NeighbourServices neighbours {kernel};
    std::shared_ptr<FakeKeyedStore> store = std::make_shared<FakeKeyedStore>(executor);
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE("a record that is renewed at the offset it had before the store returned is kept")
{
    Fixture fixture;
    fixture.store->records = {{"partitioned", Addresses, 5}};
    fixture.store->end = 6;
    fixture.startDaemonRecords();
    fixture.executor.advance(2h + 55min);
    fixture.store->returnFrom({{}, 5});
    fixture.store->append(DaemonRecordsTopic, {"partitioned", Addresses, 0}, std::nullopt,
                          [](const RecordAppended &) {});
    REQUIRE(fixture.store->records.back().offset == 5);
    fixture.executor.advance(2h + 55min);
    CHECK(fixture.store->contains("partitioned"));
}

TEST_CASE("a record that the copy brings back is removed after its lifetime in the new epoch")
{
    Fixture fixture;
    fixture.startDaemonRecords();
    fixture.executor.advance(1min);
    FakeKeyedStore::Copy copy = fixture.store->copy();
    copy.records.push_back({"gone", Addresses, 0});
    fixture.executor.advance(10min);
    fixture.store->returnFrom(copy);
    fixture.executor.advance(2h + 50min);
    CHECK(fixture.store->contains("gone"));
    fixture.executor.advance(20min);
    CHECK_FALSE(fixture.store->contains("gone"));
    CHECK(fixture.store->contains("h1"));
}

TEST_CASE("removals of addresses stop when the store has returned since they were read")
{
    Fixture fixture;
    for (unsigned i = 0; i < 3; ++i) {
        fixture.store->records.push_back({"gone-" + std::to_string(i), Addresses, i});
    }
    fixture.store->end = 3;
    fixture.returnBeforeFirstRemoval();
    fixture.startDaemonRecords();
    fixture.executor.advance(3h + 30min);
    // The first removal meets the expected end by chance; the others are not sent.
    CHECK_FALSE(fixture.store->beforeAppend);
    CHECK(fixture.neighbours.countOf("daemons.removed") == 1);
}

TEST_CASE("removals of left processes stop when the store has returned since they were read")
{
    Fixture fixture;
    const std::string expired = encodeLeftProcesses(std::vector {LeftProcess {"i-1", 1000, 2000}});
    fixture.store->records = {{"h2", expired, 0}, {"h3", expired, 1}, {"h4", expired, 2}};
    fixture.store->end = 3;
    fixture.returnBeforeFirstRemoval();
    fixture.service = makeLeftProcessRecords(fixture.kernel, fixture.store, "h1");
    REQUIRE_FALSE(fixture.service->start());
    fixture.executor.advance(1min);
    CHECK_FALSE(fixture.store->beforeAppend);
    CHECK(fixture.store->records.size() == 2);
}

TEST_CASE("nothing is removed that was read before the store returned")
{
    Fixture fixture;
    const std::string expired = encodeLeftProcesses(std::vector {LeftProcess {"i-1", 1000, 2000}});
    fixture.store->records = {{"h2", expired, 0}};
    fixture.store->end = 1;
    fixture.store->holdsAnswers = true;
    fixture.service = makeLeftProcessRecords(fixture.kernel, fixture.store, "h1");
    REQUIRE_FALSE(fixture.service->start());
    fixture.executor.runReady();
    fixture.store->returnFrom(fixture.store->copy());
    fixture.neighbours.announceEpoch(2);
    fixture.executor.runReady();
    fixture.store->deliverHeld();
    fixture.executor.advance(1min);
    CHECK(fixture.store->appendTimes.empty());
}
