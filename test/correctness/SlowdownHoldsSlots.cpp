// Guards against runs that start during a transient slowdown. Each occupies its slot several times
// as long, even after the slowdown has ended. Under load most slots were occupied this way, and all
// calls of the service were late.
#include "decisions/BackendHealth.h"
#include "decisions/SlotQueue.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Now = TimePoint() + std::chrono::hours(1);
constexpr bool MayStart = true;
constexpr ServerSpeed NormalSpeed {milliseconds(60), milliseconds(15)};
constexpr ServerSpeed SlowSpeed {milliseconds(60), milliseconds(15), 7, true};

SlotQueue queueAt(const ServerSpeed &speed)
{
    SlotQueue queue;
    queue.slotsChanged(4);
    queue.speedChanged(speed);
    return queue;
}

SlotRequest callerRequest(std::uint64_t number, milliseconds objective)
{
    SlotRequest request {{0, number}, Now + milliseconds(400)};
    request.objective = Now + objective;
    request.deadline = Now + milliseconds(1000);
    return request;
}

SlotRequest nestedRequest(std::uint64_t number, milliseconds objective)
{
    SlotRequest request = callerRequest(number, objective);
    request.nested = true;
    return request;
}

} // namespace

TEST_CASE("a call waits for the end of a transient slowdown even if all slots are free")
{
    SlotQueue queue = queueAt(SlowSpeed);
    CHECK(queue.offer(callerRequest(1, milliseconds(900)), Now) == SlotVerdict::Wait);
    CHECK(queue.decide(Now, MayStart).empty());
    queue.speedChanged(NormalSpeed);
    const auto decisions = queue.decide(Now + milliseconds(50), MayStart);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].action == SlotAction::Start);
}

TEST_CASE("a nested call starts during a slowdown if it can still meet its objective")
{
    SlotQueue queue = queueAt(SlowSpeed);
    CHECK(queue.offer(nestedRequest(1, milliseconds(120)), Now) == SlotVerdict::Start);
    CHECK(queue.offer(nestedRequest(2, milliseconds(80)), Now) == SlotVerdict::Wait);
}

TEST_CASE("a late nested call starts during a slowdown, because its parent needs the answer")
{
    SlotQueue queue = queueAt(SlowSpeed);
    CHECK(queue.offer(nestedRequest(1, milliseconds(0)), Now) == SlotVerdict::Start);
}

TEST_CASE("a call that can meet its objective starts before a late call")
{
    SlotQueue queue = queueAt(NormalSpeed);
    for (std::uint64_t i = 0; i < 4; ++i) {
        queue.offer(callerRequest(i, milliseconds(300)), Now);
    }
    queue.offer(callerRequest(10, milliseconds(20)), Now);
    queue.offer(callerRequest(11, milliseconds(300)), Now);
    queue.slotReleased();
    const auto decisions = queue.decide(Now, MayStart);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].attempt == AttemptId {0, 11});
}

TEST_CASE("a full queue of late calls accepts a call that can meet its objective")
{
    SlotQueue queue = queueAt({});
    for (std::uint64_t i = 0; i < 4 + 4 * SlotQueue::MaxQueuedCallersPerSlot; ++i) {
        queue.offer(callerRequest(i, milliseconds(-10)), Now);
    }
    REQUIRE(queue.waiting() == 4 * SlotQueue::MaxQueuedCallersPerSlot);
    CHECK(queue.offer(callerRequest(100, milliseconds(-10)), Now) == SlotVerdict::Refuse);
    CHECK(queue.offer(callerRequest(101, milliseconds(300)), Now) == SlotVerdict::Wait);
    // The lowest-ranked late call is refused instead.
    const auto decisions = queue.decide(Now, MayStart);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].action == SlotAction::Refuse);
    CHECK(queue.waiting() == 4 * SlotQueue::MaxQueuedCallersPerSlot);
}

TEST_CASE("a permanently slow server is not in a transient slowdown")
{
    BackendHealth health;
    TimePoint now = Now;
    health.slownessReported(700, now);
    CHECK(health.inTransientSlowdown(now));
    for (; now < Now + BackendHealth::MaxTransientSlowdownTime; now += milliseconds(100)) {
        health.slownessReported(700, now);
    }
    CHECK_FALSE(health.inTransientSlowdown(now));
    health.slownessReported(100, now);
    health.slownessReported(700, now);
    CHECK(health.inTransientSlowdown(now));
}

TEST_CASE("nested calls do not reduce the average time of other calls")
{
    BackendHealth health;
    for (int i = 0; i < 200; ++i) {
        health.runEnded(RunOutcome::Success, milliseconds(15), Now, CallOrigin::BackendServer);
        health.runEnded(RunOutcome::Success, milliseconds(80), Now, CallOrigin::Caller);
    }
    CHECK(health.typicalAnswerTime(CallOrigin::Caller) == milliseconds(80));
    CHECK(health.typicalAnswerTime(CallOrigin::BackendServer) == milliseconds(15));
}
