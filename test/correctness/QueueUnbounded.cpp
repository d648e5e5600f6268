// Guards against a queue that grows over its bound, holds calls too long, or starts calls whose
// deadline has passed.
#include "decisions/Admission.h"
#include "kernel/Random.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Slots = 4;

Admission warmServer(TimePoint now)
{
    Admission admission;
    ServiceRules rules;
    rules.coldStart = {Slots, 1};
    admission.rulesChanged(rules);
    admission.announced(Slots, now);
    return admission;
}

} // namespace

TEST_CASE("a queued call waits for a quarter of its remaining time and at most 20 ms")
{
    TimePoint now {};
    Admission admission = warmServer(now);
    Reason reason {};
    for (unsigned i = 0; i < Slots; ++i) {
        admission.admit({0, i}, now + milliseconds(1000), now, reason);
    }
    CHECK(admission.admit({1, 0}, now + milliseconds(40), now, reason) == AdmissionVerdict::Queued);
    CHECK(admission.admit({1, 1}, now + milliseconds(900), now, reason)
          == AdmissionVerdict::Queued);
    CHECK(*admission.nextTick() == now + milliseconds(10));
    auto outputs = admission.tick(now + milliseconds(10));
    REQUIRE(outputs.size() == 1);
    CHECK(outputs[0].call == AttemptId {1, 0});
    CHECK(outputs[0].refusal.has_value());
    CHECK(*admission.nextTick() == now + milliseconds(20));
}

TEST_CASE("slots and queue stay within their bounds under random calls")
{
    SeededRandom random(11);
    TimePoint now {};
    Admission admission = warmServer(now);
    std::map<AttemptId, TimePoint> deadlines;
    unsigned running = 0;
    unsigned late = 0;
    const auto take = [&](Admission::Outputs outputs) {
        for (const QueuedCallDecided &output : outputs) {
            running += output.refusal ? 0 : 1;
            late += !output.refusal && now >= deadlines[output.call] ? 1 : 0;
        }
    };
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += microseconds(random.below(3000));
        if (running > 0 && random.below(3) == 0) {
            --running;
            take(admission.finished(RunEnd::Good, milliseconds(4), now));
        } else if (random.below(2) == 0) {
            take(admission.tick(now));
        } else {
            Reason reason {};
            const AttemptId id {0, i};
            deadlines[id] = now + milliseconds(1 + random.below(30));
            running += admission.admit(id, deadlines[id], now, reason) == AdmissionVerdict::Admitted
                ? 1
                : 0;
        }
        REQUIRE(admission.report().inUse == running);
        REQUIRE(running <= Slots);
        REQUIRE(admission.report().waiting <= Slots);
    }
    CHECK(late == 0);
}
