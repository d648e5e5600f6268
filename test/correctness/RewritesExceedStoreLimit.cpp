// Guards against daemons that exceed the number of writes which the store accepts from all of them,
// 400 a second, when they append their addresses and their records of left processes again after
// the store has come back from a copy.
#include "kernel/ManualExecutor.h"
#include "services/DaemonRecords.h"
#include "services/LeftProcessRecords.h"
#include "support/FakeKeyedStore.h"
#include "support/NeighbourServices.h"

#include <doctest/doctest.h>

#include <array>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// Write calls per second that the store accepts from all daemons together.
constexpr std::size_t MaxWritesPerSecond = 400;

/// The services "daemon-records" and "left-processes" of many daemons at one store. Each backend
/// server has had a shutdown, as after a release.
class Site
{
public:
    explicit Site(std::size_t daemons)
    {
        for (const auto &topic : topics) {
            topic->epoch = 1;
        }
        std::vector<Member> members(daemons);
        for (std::size_t i = 0; i < daemons; ++i) {
            members[i].id = {"daemon-" + std::to_string(i), 1};
            members[i].dataCentre = "klang-" + std::to_string(i % 9);
        }
        for (const Member &self : members) {
            start(self.id, members);
        }
        // Past the start and the first reads.
        executor.advance(20s);
        REQUIRE(hasAllRecords());
    }

    /// Brings the store back from an empty copy, which all daemons learn at once.
    void returnFromCopy()
    {
        for (const auto &topic : topics) {
            topic->returnFrom({});
        }
        for (const auto &daemon : m_daemons) {
            daemon->neighbours.announceEpoch(*topics[0]->epoch);
        }
    }

    bool hasAllRecords() const
    {
        return std::ranges::all_of(topics, [this](const auto &topic) {
            return topic->records.size() == m_daemons.size();
        });
    }

    /// \return times of all appends since the given time, in ascending order.
    std::vector<TimePoint> appendsSince(TimePoint since) const
    {
        std::vector<TimePoint> times;
        for (const auto &topic : topics) {
            std::ranges::copy_if(topic->appendTimes, std::back_inserter(times),
                                 [since](TimePoint at) { return at >= since; });
        }
        std::ranges::sort(times);
        return times;
    }

    ManualExecutor executor;
    /// The topics of the addresses and of the left processes.
    std::array<std::shared_ptr<FakeKeyedStore>, 2> topics {
        std::make_shared<FakeKeyedStore>(executor), std::make_shared<FakeKeyedStore>(executor)};

private:
    void start(const DaemonId &self, const std::vector<Member> &members)
    {
        Daemon &daemon = *m_daemons.emplace_back(std::make_unique<Daemon>(executor, members));
        daemon.services = {makeDaemonRecords(daemon.kernel, topics[0], self, {}),
                           makeLeftProcessRecords(daemon.kernel, topics[1], self.name)};
        for (const auto &service : daemon.services) {
            REQUIRE_FALSE(service->start());
        }
        std::error_code ec;
        daemon.kernel.directory()
            .find<RecordLeftProcesses>(ServiceName::LeftProcesses, ec)
            .send({{LeftProcess {"i-1", 1000, 2000}}, {}});
    }

    struct Daemon
    {
        Daemon(Executor &executor, const std::vector<Member> &members) : kernel(executor, random)
        {
            neighbours.members = members;
        }

        SeededRandom random {nextSeed()};
        Kernel kernel;
        NeighbourServices neighbours {kernel};
        std::array<std::unique_ptr<Service>, 2> services;

    private:
        static std::uint64_t nextSeed()
        {
            static std::uint64_t seed = 0;
            return ++seed;
        }
    };

    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

/// \return maximum number of appends within a second.
std::size_t maxPerSecond(const std::vector<TimePoint> &times)
{
    std::size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it) {
        const auto end = std::ranges::lower_bound(times, *it + 1s);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

void checkReturn(std::size_t daemons, Duration maxTime)
{
    Site site(daemons);
    const TimePoint returnedAt = site.executor.now();
    site.returnFromCopy();
    site.executor.advance(maxTime);
    CHECK(site.hasAllRecords());
    const auto appends = site.appendsSince(returnedAt);
    REQUIRE(appends.size() == 2 * daemons);
    MESSAGE(daemons << " daemons, two records each: at most " << maxPerSecond(appends)
                    << " appends within a second, the last after "
                    << std::chrono::duration<double>(appends.back() - returnedAt).count() << " s");
    CHECK(maxPerSecond(appends) <= MaxWritesPerSecond);
}

} // namespace

TEST_CASE("14 daemons append their records again within two seconds")
{
    checkReturn(14, 2s);
}

TEST_CASE("a hundred daemons append their records again within two seconds")
{
    checkReturn(100, 2s);
}

TEST_CASE("a thousand daemons append their records again within the limit of the store")
{
    checkReturn(1000, 10s);
}

TEST_CASE("a second return of the store does not double the appends per second")
{
    for (const auto pause :
         {Duration(0s), Duration(500ms), Duration(1s), Duration(3s), Duration(6s)}) {
        constexpr std::size_t Daemons = 1000;
        Site site(Daemons);
        const TimePoint returnedAt = site.executor.now();
        site.returnFromCopy();
        site.executor.advance(pause);
        site.returnFromCopy();
        site.executor.advance(12s);
        CHECK(site.hasAllRecords());
        const auto appends = site.appendsSince(returnedAt);
        MESSAGE("second return after " << std::chrono::duration<double>(pause).count()
                                       << " s: at most " << maxPerSecond(appends)
                                       << " appends within a second, " << appends.size()
                                       << " appends");
        CHECK(maxPerSecond(appends) <= MaxWritesPerSecond);
    }
}
