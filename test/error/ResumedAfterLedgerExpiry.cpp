// Guards against an attempt that is reported as "not run" after the serving daemon has forgotten
// that it started: an order that ran for minutes was answered with 503.
#include "decisions/RunLedger.h"
#include "support/LinkClientFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

TEST_CASE("a serving daemon promises nothing about an attempt that its ledger has forgotten")
{
    constexpr Incarnation Process = 1;
    LinkClientFixture fixture;
    RunLedger ledger(Process);
    fixture.sendOrder();
    auto link = fixture.accept();
    link->send(helloOf(Process));
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<RunFrame>() != nullptr; }));
    ledger.tryStart(Attempt);
    fixture.settle();

    fixture.executor.shift += std::chrono::seconds(RunLedger::RetentionTicks);
    for (unsigned n = 0; n < RunLedger::RetentionTicks; ++n) {
        ledger.tick();
    }
    link->close();
    link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    CHECK(ledger.revoke(Attempt, fixture.lastFrame<ResumeFrame>()->sentTo)
          != RevokeVerdict::NeverStarts);
}
