// Guards against short answers from other daemons for which an entry daemon has no memory: it kept
// any number of them. They are sent again once there is memory, and none is lost.
#include "decisions/BodyBudget.h"
#include "support/LinkClientFixture.h"

#include <vector>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t AnswerBytes = BodyBudget::MaxFreeBytes;

/// An attempt whose short answer arrives while there is no memory.
struct DroppedAnswer : LinkClientFixture
{
    DroppedAnswer()
    {
        while (auto part = answerMemory->tryTake(AnswerBytes)) {
            taken.push_back(std::move(part));
        }
        sendOrder();
        link = accept();
        link->send(helloOf(1));
        REQUIRE(runUntil([&] { return count<RunFrame>() == 1; }));
        sendAnswer();
        settle();
    }

    void sendAnswer(std::size_t bytes = AnswerBytes)
    {
        link->send({Attempt, {}, AnswerFrame {200, {}, std::string(bytes, 'a'), false}});
    }

    std::vector<std::shared_ptr<void>> taken;
    std::shared_ptr<LinkConnection> link;
};

} // namespace

TEST_CASE("a short answer is requested again when there is memory for it")
{
    DroppedAnswer fixture;
    CHECK_FALSE(fixture.result);
    CHECK(fixture.count<ResumeFrame>() == 0);
    fixture.taken.pop_back();
    REQUIRE(fixture.runUntil([&] { return fixture.count<ResumeFrame>() == 1; }));
    fixture.sendAnswer();
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    CHECK(std::get<AttemptAnswered>(*fixture.result).body->size() == AnswerBytes);
    fixture.taken.clear();
    CHECK(fixture.answerMemory->shortHeld() == AnswerBytes);
    fixture.result.reset();
    CHECK(fixture.answerMemory->shortHeld() == 0);
}

TEST_CASE("an attempt whose answer was dropped counts as run")
{
    DroppedAnswer fixture;
    fixture.link->send({Attempt, {}, RefusalFrame {Reason::Unreachable, false}});
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    CHECK(std::holds_alternative<AttemptLost>(*fixture.result));
}

TEST_CASE("the wait for a dropped answer ends when the attempt is cancelled")
{
    DroppedAnswer fixture;
    fixture.client.cancelAttempt(Attempt);
    fixture.taken.clear();
    fixture.settle();
    CHECK(fixture.count<ResumeFrame>() == 0);
    CHECK(fixture.answerMemory->shortHeld() == 0);
}

TEST_CASE("a small answer is taken without memory")
{
    DroppedAnswer fixture;
    fixture.sendAnswer(1000);
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    CHECK(std::get<AttemptAnswered>(*fixture.result).body->size() == 1000);
}
