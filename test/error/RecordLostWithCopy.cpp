// Guards against the address of a daemon that is missing in the store until its next renewal, up to
// half an hour later, after the store has come back from a copy that does not have it.
#include "kernel/ManualExecutor.h"
#include "services/DaemonRecords.h"
#include "support/FakeKeyedStore.h"
#include "support/NeighbourServices.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// The service "daemon-records" of the daemon h1 at a store that names the epoch 1.
struct Fixture
{
    Fixture()
    {
        neighbours.members.resize(1);
        neighbours.members[0].id = {"h1", 1};
        store->epoch = 1;
    }

    void start()
    {
        service = makeDaemonRecords(kernel, store, {"h1", 1}, {{"10.0.0.1", 7600}, {}});
        REQUIRE_FALSE(service->start());
    }

    /// Brings the store back from a copy, and lets the daemon hear of it.
    void returnFrom(const FakeKeyedStore::Copy &copy)
    {
        store->returnFrom(copy);
        neighbours.announceEpoch(*store->epoch);
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    NeighbourServices neighbours {kernel};
    std::shared_ptr<FakeKeyedStore> store = std::make_shared<FakeKeyedStore>(executor);
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE("an address that the copy of the store does not have is there again within two seconds")
{
    Fixture fixture;
    const auto copy = fixture.store->copy();
    fixture.start();
    fixture.executor.advance(1min);
    REQUIRE(fixture.store->contains("h1"));
    fixture.returnFrom(copy);
    CHECK_FALSE(fixture.store->contains("h1"));
    fixture.executor.advance(2s);
    CHECK(fixture.store->contains("h1"));
    CHECK(fixture.neighbours.countOf("daemons.rewritten") == 1);
    fixture.executor.advance(1min);
    CHECK(fixture.store->appends == 2);
}

TEST_CASE("a daemon learns from the answer to a read that its address may be lost")
{
    Fixture fixture;
    const auto copy = fixture.store->copy();
    fixture.start();
    fixture.executor.advance(30s);
    fixture.store->returnFrom(copy);
    // The daemon is alone and reads the addresses each minute.
    fixture.executor.advance(1min + 2s);
    CHECK(fixture.store->contains("h1"));
}

TEST_CASE("an address whose append was under way while the store returned is appended again")
{
    for (const bool namesEpoch : {true, false}) {
        CAPTURE(namesEpoch);
        Fixture fixture;
        const auto copy = fixture.store->copy();
        fixture.store->holdsAnswers = true;
        if (!namesEpoch) {
            fixture.store->epoch.reset();
        }
        fixture.start();
        fixture.executor.advance(1s);
        REQUIRE(fixture.store->contains("h1"));
        fixture.returnFrom(copy);
        fixture.executor.runReady();
        fixture.store->deliverHeld();
        fixture.executor.advance(2s);
        CHECK(fixture.store->contains("h1"));
    }
}

TEST_CASE("an append that a later epoch acknowledges is not repeated")
{
    Fixture fixture;
    const auto copy = fixture.store->copy();
    fixture.store->returnFrom(copy);
    fixture.store->holdsAnswers = true;
    fixture.start();
    fixture.executor.advance(1s);
    fixture.neighbours.announceEpoch(2);
    fixture.executor.runReady();
    fixture.store->deliverHeld();
    fixture.executor.advance(1min);
    CHECK(fixture.store->appends == 1);
}

TEST_CASE("an address that cannot be appended again is repeated, with growing pauses")
{
    Fixture fixture;
    fixture.start();
    fixture.executor.advance(1s);
    const auto copy = FakeKeyedStore::Copy {};
    fixture.store->available = false;
    fixture.returnFrom(copy);
    const std::size_t before = fixture.store->appendTimes.size();
    fixture.executor.advance(10s);
    const std::size_t calls = fixture.store->appendTimes.size() - before;
    CHECK(calls >= 2);
    CHECK(calls <= 6);
    fixture.store->available = true;
    fixture.executor.advance(20s);
    CHECK(fixture.store->contains("h1"));
}

TEST_CASE("a store that names an earlier epoch than another daemon gets a bounded number of calls")
{
    Fixture fixture;
    fixture.start();
    fixture.executor.advance(1s);
    fixture.neighbours.announceEpoch(9);
    const std::size_t before = fixture.store->appendTimes.size();
    const unsigned readsBefore = fixture.store->reads;
    fixture.executor.advance(10min);
    CHECK(fixture.store->appendTimes.size() - before <= 20);
    CHECK(fixture.store->reads - readsBefore <= 13);
}

TEST_CASE("a store that names no epoch gets one append")
{
    Fixture fixture;
    fixture.store->epoch.reset();
    fixture.start();
    fixture.neighbours.announceEpoch(0);
    fixture.executor.advance(1min);
    CHECK(fixture.store->appends == 1);
}
