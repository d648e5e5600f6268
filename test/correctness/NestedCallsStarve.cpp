// Guards against nested calls that queue behind new calls of callers: the parent run occupies a
// slot until it is answered, and its work is lost if the nested call fails.
#include "decisions/SlotQueue.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

TEST_CASE("a nested call starts before calls that arrived earlier")
{
    SlotQueue queue;
    queue.slotsChanged(1);
    const TimePoint now {};
    queue.offer({{0, 1}, now + milliseconds(100), 0, false}, now);
    queue.offer({{0, 2}, now + milliseconds(100), 0, false}, now);
    queue.offer({{0, 3}, now + milliseconds(100), 2, true}, now);
    queue.slotReleased();
    const auto decisions = queue.decide(now, true);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].attempt == AttemptId {0, 3});
}

TEST_CASE("calls of callers leave a part of the slots to nested calls while there are any")
{
    SlotQueue queue;
    queue.slotsChanged(8);
    TimePoint now {};
    CHECK(queue.offer({{1, 0}, now + milliseconds(100), 0, true}, now) == SlotVerdict::Start);
    unsigned started = 0;
    for (std::uint64_t i = 0; i < 20; ++i) {
        started
            += queue.offer({{0, i}, now + milliseconds(100), 0, false}, now) == SlotVerdict::Start
            ? 1
            : 0;
    }
    CHECK(started == 5);
    CHECK(queue.offer({{1, 1}, now + milliseconds(100), 0, true}, now) == SlotVerdict::Start);
    CHECK(queue.offer({{1, 2}, now + milliseconds(100), 0, true}, now) == SlotVerdict::Start);
}

TEST_CASE("calls of a service start in the order of their priority")
{
    SlotQueue queue;
    queue.slotsChanged(1);
    const TimePoint now {};
    queue.offer({{0, 1}, now + milliseconds(100), 2, false}, now);
    queue.offer({{0, 2}, now + milliseconds(100), 2, false}, now);
    queue.offer({{0, 3}, now + milliseconds(300), 1, false}, now);
    queue.slotReleased();
    CHECK(queue.decide(now, true)[0].attempt == AttemptId {0, 3});
}
