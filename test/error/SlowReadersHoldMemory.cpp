// Guards against callers that read their answers slowly or not at all, and hold the memory for
// answers that others wait for.
#include "decisions/SlowReaders.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HeldBytes = 3'000'000;
constexpr Duration Interval = 100ms;

using Ids = std::vector<std::uint64_t>;

/// Callers that read at different rates during a shortage.
struct Shortage
{
    /// Lets time pass in steps, and notes who was chosen first.
    Ids play(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += Interval) {
            for (std::size_t n = 0; n < readers.size(); ++n) {
                readers[n].receivedBytes += bytesPerInterval[n];
            }
            now += Interval;
            if (Ids ids = slow.choose(readers, neededBytes, now); !ids.empty()) {
                return ids;
            }
        }
        return {};
    }

    void add(std::uint64_t id, std::uint64_t bytes)
    {
        readers.push_back({id, HeldBytes, 0});
        bytesPerInterval.push_back(bytes);
    }

    SlowReaders slow;
    std::vector<AnswerReader> readers;
    std::vector<std::uint64_t> bytesPerInterval;
    std::size_t neededBytes = 1;
    TimePoint now {1h};
};

} // namespace

TEST_CASE("the caller that has received the least is chosen once it has been watched")
{
    Shortage shortage;
    shortage.add(1, 1);
    shortage.add(2, 0);
    shortage.add(3, 1'000'000);
    CHECK(shortage.play(SlowReaders::WatchTime).empty());
    CHECK(shortage.play(Interval) == Ids {2});
}

TEST_CASE("as many callers are chosen as are needed, and none that makes progress")
{
    Shortage shortage;
    shortage.neededBytes = 10 * HeldBytes;
    shortage.add(1, 0);
    shortage.add(2, 1'000'000);
    shortage.add(3, 1);
    shortage.add(4, SlowReaders::MinReceivedBytes);
    CHECK(shortage.play(SlowReaders::WatchTime + Interval) == Ids {1, 3});
}

TEST_CASE("a caller that stops reading later is chosen then")
{
    Shortage shortage;
    shortage.add(1, 1'000'000);
    CHECK(shortage.play(5 * SlowReaders::WatchTime).empty());
    shortage.bytesPerInterval[0] = 0;
    CHECK(shortage.play(2 * SlowReaders::WatchTime + Interval) == Ids {1});
}

TEST_CASE("callers are watched anew after a pause without a shortage or of this process")
{
    Shortage shortage;
    shortage.add(1, 0);
    CHECK(shortage.play(SlowReaders::WatchTime / 2).empty());
    shortage.now += 10s;
    CHECK(shortage.play(SlowReaders::WatchTime).empty());
    CHECK(shortage.play(Interval) == Ids {1});
}
