// Guards against slots that are occupied but idle during the transfer of large bodies: uploads of
// 60 KB over 10 Mbit/s links occupied a third of a server's slots without running.
#include "decisions/SlotQueue.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Now {};
constexpr bool MayStart = true;

SlotRequest requestFor(std::uint64_t number, bool bodyPending)
{
    return {{0, number}, Now + milliseconds(100), 0, false, bodyPending};
}

unsigned count(SlotQueue::Decisions decisions, SlotAction action)
{
    return static_cast<unsigned>(std::ranges::count(decisions, action, &SlotDecision::action));
}

} // namespace

TEST_CASE("a run without its body occupies no slot and fetches the body")
{
    SlotQueue queue;
    queue.slotsChanged(2);
    CHECK(queue.offer(requestFor(1, true), Now) == SlotVerdict::Wait);
    const auto decisions = queue.decide(Now, MayStart);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].action == SlotAction::FetchBody);
    CHECK(queue.inUse() == 0);
    // The body is fetched only once.
    CHECK(queue.decide(Now, MayStart).empty());
}

TEST_CASE("another run takes the slot during a body transfer, and the run with the body is next")
{
    SlotQueue queue;
    queue.slotsChanged(1);
    queue.offer(requestFor(1, true), Now);
    queue.decide(Now, MayStart);
    CHECK(queue.offer(requestFor(2, false), Now) == SlotVerdict::Start);
    CHECK(queue.offer(requestFor(3, false), Now) == SlotVerdict::Wait);
    queue.bodyArrived({0, 1});
    queue.slotReleased();
    const auto decisions = queue.decide(Now, MayStart);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].attempt == AttemptId {0, 1});
    CHECK(decisions[0].action == SlotAction::Start);
}

TEST_CASE("bodies are fetched only for runs that will start soon")
{
    SlotQueue queue;
    queue.slotsChanged(4);
    for (std::uint64_t i = 0; i < 12; ++i) {
        queue.offer(requestFor(i, true), Now);
    }
    CHECK(count(queue.decide(Now, MayStart), SlotAction::FetchBody)
          == 4 + 4 / SlotQueue::SlotsPerBodyFetch);
}

TEST_CASE("a run whose body was fetched is not refused when its start is overdue")
{
    SlotQueue queue;
    queue.slotsChanged(1);
    queue.offer(requestFor(1, false), Now);
    queue.offer(requestFor(2, true), Now);
    queue.decide(Now, MayStart);
    const TimePoint late = Now + milliseconds(500);
    CHECK(queue.decide(late, MayStart).empty());
    queue.bodyArrived({0, 2});
    queue.slotReleased();
    CHECK(count(queue.decide(late, MayStart), SlotAction::Start) == 1);
}
