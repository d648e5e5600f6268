// Guards against the acknowledged shutdown of a backend server that a restarted daemon no longer
// finds, since the store has come back from a copy that does not have its record, and against an
// acknowledgement for an append that the store has lost.
#include "kernel/ManualExecutor.h"
#include "services/LeftProcessRecords.h"
#include "support/FakeKeyedStore.h"
#include "support/NeighbourServices.h"
#include "wire/LeftProcessJson.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

const LeftProcess First {"i-1", 1000, 2000};
const LeftProcess Second {"i-2", 0, 3000};

/// The service "left-processes" of the daemon h1 at a store that names the epoch 1.
struct Fixture
{
    Fixture()
    {
        neighbours.members.resize(1);
        store->epoch = 1;
    }

    void start()
    {
        service = makeLeftProcessRecords(kernel, store, "h1");
        REQUIRE_FALSE(service->start());
        executor.runReady();
    }

    /// Brings the store back from a copy, and lets the daemon hear of it.
    void returnFrom(const FakeKeyedStore::Copy &copy)
    {
        store->returnFrom(copy);
        neighbours.announceEpoch(*store->epoch);
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

    std::vector<LeftProcess> storedProcesses() const
    {
        const auto it = std::ranges::find(store->records, std::string("h1"), &StoreRecord::key);
        JsonFault fault;
        return it == store->records.end() ? std::vector<LeftProcess>()
                                          : decodeLeftProcesses(*it->value, fault);
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    NeighbourServices neighbours {kernel};
    std::shared_ptr<FakeKeyedStore> store = std::make_shared<FakeKeyedStore>(executor);
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE("an acknowledged shutdown that the copy does not have is recorded again within 2 s")
{
    Fixture fixture;
    fixture.start();
    const auto copy = fixture.store->copy();
    CHECK(*fixture.record({First}) == 1);
    fixture.returnFrom(copy);
    fixture.executor.advance(2s);
    CHECK(fixture.storedProcesses() == std::vector {First});
    CHECK(fixture.neighbours.countOf("backend.leftRewritten") == 1);
    fixture.executor.advance(1min);
    CHECK(fixture.store->appends == 2);
}

TEST_CASE("two returns in a row cost one more append each at most")
{
    Fixture fixture;
    fixture.start();
    CHECK(*fixture.record({First}) == 1);
    fixture.returnFrom({});
    fixture.returnFrom({});
    fixture.executor.advance(1min);
    CHECK(fixture.storedProcesses() == std::vector {First});
    CHECK(fixture.store->appends == 2);
}

TEST_CASE("an append under way while the store returns is not acknowledged before it is repeated")
{
    for (const bool namesEpoch : {true, false}) {
        CAPTURE(namesEpoch);
        Fixture fixture;
        if (!namesEpoch) {
            fixture.store->epoch.reset();
        }
        fixture.start();
        const auto copy = fixture.store->copy();
        fixture.store->holdsAnswers = true;
        const auto answer = fixture.record({First});
        fixture.returnFrom(copy);
        fixture.store->deliverHeld();
        fixture.executor.runReady();
        CHECK(*answer == -1);
        fixture.executor.advance(599ms);
        CHECK(*answer == 1);
        CHECK(fixture.storedProcesses() == std::vector {First});
    }
}

TEST_CASE("after a return, a shutdown is acknowledged once it is recorded again")
{
    Fixture fixture;
    fixture.start();
    CHECK(*fixture.record({First}) == 1);
    fixture.returnFrom({});
    fixture.store->holdsAnswers = true;
    const auto answer = fixture.record({First});
    CHECK(*answer == -1);
    fixture.store->deliverHeld();
    fixture.executor.runReady();
    CHECK(*answer == 1);
    CHECK(fixture.storedProcesses() == std::vector {First});
    fixture.executor.advance(1min);
    CHECK(fixture.store->appends == 2);
}

TEST_CASE("a shutdown that waits for a repeated append is acknowledged in time")
{
    Fixture fixture;
    fixture.start();
    CHECK(*fixture.record({First}) == 1);
    fixture.store->available = false;
    fixture.returnFrom({});
    const auto answer = fixture.record({First});
    fixture.store->available = true;
    fixture.executor.advance(599ms);
    CHECK(*answer == 1);
    CHECK(fixture.storedProcesses() == std::vector {First});
}

TEST_CASE("the predecessor's record is recorded again if the copy does not have it")
{
    Fixture fixture;
    fixture.store->records = {{"h1", encodeLeftProcesses(std::vector {First}), 0}};
    fixture.store->end = 1;
    fixture.start();
    CHECK(fixture.neighbours.predecessors == std::vector {First});
    fixture.returnFrom({});
    fixture.executor.advance(2s);
    CHECK(fixture.storedProcesses() == std::vector {First});
}

TEST_CASE("the record that is written again has the processes of the predecessor and the own ones")
{
    Fixture fixture;
    fixture.store->records = {{"h1", encodeLeftProcesses(std::vector {First}), 0}};
    fixture.store->available = false;
    fixture.start();
    fixture.record({Second});
    fixture.executor.advance(1s);
    fixture.store->available = true;
    fixture.executor.advance(1s);
    CHECK(fixture.neighbours.predecessors == std::vector {First});
    fixture.returnFrom({});
    fixture.executor.advance(2s);
    CHECK(fixture.storedProcesses() == std::vector {First, Second});
}

TEST_CASE("a daemon whose server has never left appends nothing when the store returns")
{
    Fixture fixture;
    fixture.start();
    fixture.returnFrom({});
    fixture.executor.advance(1min);
    CHECK(fixture.store->appendTimes.empty());
}

TEST_CASE("a record that cannot be written again is repeated with pauses, until it is there")
{
    Fixture fixture;
    fixture.start();
    CHECK(*fixture.record({First}) == 1);
    fixture.store->available = false;
    fixture.returnFrom({});
    const std::size_t before = fixture.store->appendTimes.size();
    fixture.executor.advance(10s);
    const std::size_t calls = fixture.store->appendTimes.size() - before;
    CHECK(calls >= 3);
    CHECK(calls <= 10);
    fixture.store->available = true;
    fixture.executor.advance(5s);
    CHECK(fixture.storedProcesses() == std::vector {First});
}
