// Guards against daemons that exceed the number of writes which the store accepts from all of them,
// 400 a second, when they append their addresses again after the store has come back from a copy.
#include "kernel/ManualExecutor.h"
#include "services/DaemonRecords.h"
#include "support/FakeKeyedStore.h"
#include "support/NeighbourServices.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// Write calls per second that the store accepts from all daemons together.
constexpr std::size_t MaxWritesPerSecond = 400;

/// The services "daemon-records" of many daemons at one store.
class Site
{
public:
    explicit Site(std::size_t daemons)
    {
        store->epoch = 1;
        std::vector<Member> members(daemons);
        for (std::size_t i = 0; i < daemons; ++i) {
            members[i].id = {"daemon-" + std::to_string(i), 1};
            members[i].dataCentre = "klang-" + std::to_string(i % 9);
        }
        for (const Member &self : members) {
            auto &daemon = m_daemons.emplace_back(std::make_unique<Daemon>(executor, members));
            daemon->service = makeDaemonRecords(daemon->kernel, store, self.id, {});
            REQUIRE_FALSE(daemon->service->start());
        }
        // Past the start and the first reads.
        executor.advance(20s);
        REQUIRE(store->records.size() == daemons);
    }

    /// Brings the store back from an empty copy, which all daemons learn at once.
    void returnFromCopy()
    {
        store->returnFrom({});
        for (const auto &daemon : m_daemons) {
            daemon->neighbours.announceEpoch(*store->epoch);
        }
    }

    /// \return maximum number of appends within a second since the given time.
    std::size_t maxAppendsPerSecond(TimePoint since) const
    {
        const auto &times = store->appendTimes;
        std::size_t most = 0;
        for (auto it = std::ranges::lower_bound(times, since); it != times.end(); ++it) {
            const auto end = std::ranges::lower_bound(times, *it + 1s);
            most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

    std::size_t appendsSince(TimePoint since) const
    {
        const auto &times = store->appendTimes;
        return static_cast<std::size_t>(times.end() - std::ranges::lower_bound(times, since));
    }

    ManualExecutor executor;
    std::shared_ptr<FakeKeyedStore> store = std::make_shared<FakeKeyedStore>(executor);

private:
    struct Daemon
    {
        Daemon(Executor &executor, const std::vector<Member> &members) : kernel(executor, random)
        {
            neighbours.members = members;
        }

        SeededRandom random {nextSeed()};
        Kernel kernel;
        NeighbourServices neighbours {kernel};
        std::unique_ptr<Service> service;

    private:
        static std::uint64_t nextSeed()
        {
            static std::uint64_t seed = 0;
            return ++seed;
        }
    };

    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

void checkReturn(std::size_t daemons, Duration maxTime)
{
    Site site(daemons);
    const TimePoint returnedAt = site.executor.now();
    site.returnFromCopy();
    site.executor.advance(maxTime);
    CHECK(site.store->records.size() == daemons);
    const std::size_t most = site.maxAppendsPerSecond(returnedAt);
    const auto last = site.store->appendTimes.back() - returnedAt;
    MESSAGE(daemons << " daemons: at most " << most << " appends within a second, the last after "
                    << std::chrono::duration<double>(last).count() << " s");
    CHECK(most <= MaxWritesPerSecond / 2);
    CHECK(site.appendsSince(returnedAt) == daemons);
}

} // namespace

TEST_CASE("14 daemons append their addresses again within two seconds")
{
    checkReturn(14, 2s);
}

TEST_CASE("a hundred daemons append their addresses again within two seconds")
{
    checkReturn(100, 2s);
}

TEST_CASE("a thousand daemons append their addresses again within the limit of the store")
{
    checkReturn(1000, 7s);
}

TEST_CASE("a second return of the store does not double the appends per second")
{
    for (const auto pause : {Duration(0s), Duration(500ms), Duration(1s), Duration(3s)}) {
        constexpr std::size_t Daemons = 1000;
        Site site(Daemons);
        const TimePoint returnedAt = site.executor.now();
        site.returnFromCopy();
        site.executor.advance(pause);
        site.returnFromCopy();
        site.executor.advance(8s);
        CHECK(site.store->records.size() == Daemons);
        const std::size_t most = site.maxAppendsPerSecond(returnedAt);
        MESSAGE("second return after " << std::chrono::duration<double>(pause).count()
                                       << " s: at most " << most << " appends within a second, "
                                       << site.appendsSince(returnedAt) << " appends");
        CHECK(most <= MaxWritesPerSecond * 3 / 4);
    }
}
