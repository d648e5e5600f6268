// Guards against an attempt that is reported as "not run" by a process that never received it: an
// order whose run had started was answered with 503, or sent to a second server.
#include "decisions/RunLedger.h"
#include "support/LinkClientFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr Incarnation FirstProcess = 1;
constexpr Incarnation SecondProcess = 2;

} // namespace

TEST_CASE("an attempt is not taken for one that was sent to the process of a later connection")
{
    LinkClientFixture fixture;
    fixture.sendOrder();
    auto link = fixture.accept();
    // The first process receives the order and is killed before its hello arrives.
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<RunFrame>() != nullptr; }));
    link->close();

    // The connection to the next process breaks after its hello and before its answer.
    link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    CHECK(fixture.lastFrame<ResumeFrame>()->sentTo == 0);
    link->send(helloOf(SecondProcess));
    fixture.settle();
    link->close();

    fixture.frames.clear();
    link = fixture.accept();
    link->send(helloOf(SecondProcess));
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    const Incarnation sentTo = fixture.lastFrame<ResumeFrame>()->sentTo;
    CHECK(sentTo != SecondProcess);
    // What a serving daemon answers to it.
    RunLedger ledger(SecondProcess);
    ledger.revoke(Attempt, sentTo) == RevokeVerdict::NeverStarts
        ? link->send({Attempt, {}, RefusalFrame {Reason::Unreachable, false}})
        : link->send({Attempt, {}, LostFrame {}});
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    CHECK(std::holds_alternative<AttemptLost>(*fixture.result));
}

TEST_CASE("an attempt is resumed at the process whose hello came over its own connection")
{
    LinkClientFixture fixture;
    fixture.sendOrder();
    auto link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<RunFrame>() != nullptr; }));
    link->send(helloOf(FirstProcess));
    fixture.settle();
    link->close();

    link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    CHECK(fixture.lastFrame<ResumeFrame>()->sentTo == FirstProcess);
}
