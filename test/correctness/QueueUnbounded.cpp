// Guards against a queue that exceeds its maximum length, keeps runs too long, or starts runs after
// their latest useful start.
#include "decisions/SlotQueue.h"
#include "kernel/Random.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Slots = 4;

SlotQueue queueOf(unsigned slots)
{
    SlotQueue queue;
    queue.slotsChanged(slots);
    return queue;
}

} // namespace

TEST_CASE("a run that cannot start in time is refused immediately")
{
    SlotQueue queue = queueOf(1);
    queue.speedChanged({milliseconds(60), milliseconds(60)});
    const TimePoint now {};
    CHECK(queue.offer({{0, 1}, now + milliseconds(10), 0, false}, now) == SlotVerdict::Start);
    CHECK(queue.offer({{0, 2}, now + milliseconds(30), 0, false}, now) == SlotVerdict::Refuse);
    CHECK(queue.offer({{0, 3}, now + milliseconds(70), 0, false}, now) == SlotVerdict::Wait);
}

TEST_CASE("a queued run is refused at its latest start")
{
    SlotQueue queue = queueOf(1);
    TimePoint now {};
    queue.offer({{0, 1}, now + milliseconds(10), 0, false}, now);
    CHECK(queue.offer({{0, 2}, now + milliseconds(30), 0, false}, now) == SlotVerdict::Wait);
    CHECK(*queue.nextDeadline() == now + milliseconds(30));
    CHECK(queue.decide(now + milliseconds(29), true).empty());
    const auto decisions = queue.decide(now + milliseconds(30), true);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].action == SlotAction::Refuse);
}

TEST_CASE("slots and queue stay within their limits under random calls")
{
    SeededRandom random(11);
    TimePoint now {};
    SlotQueue queue = queueOf(Slots);
    std::map<AttemptId, TimePoint> startBy;
    unsigned running = 0;
    unsigned late = 0;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += microseconds(random.below(3000));
        if (running > 0 && random.below(3) == 0) {
            --running;
            queue.slotReleased();
        } else {
            const AttemptId id {0, i};
            startBy[id] = now + milliseconds(1 + random.below(30));
            const SlotVerdict verdict = queue.offer(
                {id, startBy[id], static_cast<unsigned>(random.below(3)), random.below(4) == 0},
                now);
            running += verdict == SlotVerdict::Start ? 1 : 0;
        }
        bool again = true;
        while (again) {
            again = false;
            for (const SlotDecision &decision : queue.decide(now, true)) {
                again = again || (decision.action == SlotAction::Start);
                running += (decision.action == SlotAction::Start) ? 1 : 0;
                late += (decision.action == SlotAction::Start) && now > startBy[decision.attempt]
                    ? 1
                    : 0;
            }
        }
        REQUIRE(queue.inUse() == running);
        REQUIRE(running <= Slots);
        REQUIRE(queue.waiting() <= Slots * SlotQueue::MaxQueuedPerSlot);
    }
    CHECK(late == 0);
}
