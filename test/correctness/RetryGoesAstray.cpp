// Guards against a retry that cannot help: to the daemon that refused, after a refusal that holds
// everywhere, or after the caller's body was spent.
#include "FlowBench.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Test;

TEST_CASE("a retry goes to a daemon that was not tried")
{
    Bench bench(2);
    CallFlow flow = bench.flow(false);
    const SendAttempt first = *find<SendAttempt>(flow.begin(Start));
    const auto *second = find<SendAttempt>(flow.refused(first.attempt, Reason::Overloaded, Start));
    REQUIRE(second);
    CHECK(second->target.daemon != first.target.daemon);
    const auto *refusal
        = find<RefuseCall>(flow.refused(second->attempt, Reason::Overloaded, Start));
    REQUIRE(refusal);
    CHECK(refusal->outcome == Outcome::NotRun);
    CHECK(refusal->reason == Reason::Overloaded);
}

TEST_CASE("a refusal that holds everywhere is not retried")
{
    for (const Reason reason : {Reason::OutsideHomeRegions, Reason::Deadline}) {
        Bench bench(3);
        CallFlow flow = bench.flow(true);
        const SendAttempt first = *find<SendAttempt>(flow.begin(Start));
        const auto *refusal = find<RefuseCall>(flow.refused(first.attempt, reason, Start));
        REQUIRE(refusal);
        CHECK(refusal->reason == reason);
    }
}

TEST_CASE("nothing is retried or hedged after a streamed body was taken")
{
    Bench bench(3);
    CallFlow flow = bench.flow(true, false);
    const SendAttempt first = *find<SendAttempt>(flow.begin(Start));
    flow.bodyTaken();
    CHECK_FALSE(find<SendAttempt>(flow.timeout(Start + std::chrono::milliseconds(10))));
    flow.lost(first.attempt, AttemptLoss::Sent, true, Start + std::chrono::milliseconds(20));
    const auto actions = flow.revocationEnded(first.attempt, RevokeVerdict::NeverStarts,
                                              Start + std::chrono::milliseconds(30));
    REQUIRE(find<RefuseCall>(actions));
    CHECK(find<RefuseCall>(actions)->outcome == Outcome::NotRun);
}

TEST_CASE("an idempotent call is hedged once and the first answer wins")
{
    Bench bench(3);
    CallFlow flow = bench.flow(true);
    const SendAttempt first = *find<SendAttempt>(flow.begin(Start));
    const auto *second = find<SendAttempt>(flow.timeout(Start + std::chrono::milliseconds(10)));
    REQUIRE(second);
    const SendAttempt hedge = *second;
    const auto actions = flow.answered(hedge.attempt, Start + std::chrono::milliseconds(15));
    REQUIRE(find<DeliverAnswer>(actions));
    CHECK(find<DeliverAnswer>(actions)->attempt == hedge.attempt);
    CHECK(find<StopAttempt>(actions)->attempt == first.attempt);
}

TEST_CASE("a call that nobody confirms as revoked is unknown at its deadline")
{
    Bench bench(3);
    CallFlow flow = bench.flow(false);
    const SendAttempt first = *find<SendAttempt>(flow.begin(Start));
    CHECK(find<SendRevocation>(flow.timeout(Start + std::chrono::milliseconds(500))));
    flow.revocationEnded(first.attempt, std::nullopt, Start + std::chrono::milliseconds(600));
    CHECK(find<SendRevocation>(flow.timeout(Start + std::chrono::milliseconds(750))));
    const auto *refusal = find<RefuseCall>(flow.timeout(Start + std::chrono::seconds(1)));
    REQUIRE(refusal);
    CHECK(refusal->outcome == Outcome::Unknown);
    CHECK(refusal->reason == Reason::Deadline);
}
