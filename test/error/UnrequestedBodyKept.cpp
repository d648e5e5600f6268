// Guards against parts of the body of a run that arrive after the run has ended, and take memory
// that is not reserved for them.
#include "support/LinkServerFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

const std::string Part(1000, 'b');

} // namespace

TEST_CASE("parts of a body are passed on only if the body was requested and its run goes on")
{
    LinkServerFixture fixture;
    const auto link = fixture.connect();
    RunFrame run;
    run.deadlineIn = run.startWithin = run.objectiveIn = 10s;
    run.pendingBodyBytes = 2 * Part.size();
    link->send({Attempt, {}, run});
    REQUIRE(fixture.runUntil([&] { return fixture.runs.size() == 1; }));
    bool isExpected = false;
    SUBCASE("before the body was requested")
    {
    }
    SUBCASE("after the run has ended")
    {
        REQUIRE(fixture.runs[0].requestBody());
        fixture.runs[0].reply(AttemptRefused {});
        fixture.settle();
    }
    SUBCASE("while the body is expected")
    {
        isExpected = true;
        REQUIRE(fixture.runs[0].requestBody());
    }
    link->send({Attempt, {}, BodyPartFrame {Part, false}});
    link->send({Attempt, {}, BodyPartFrame {Part, true}});
    fixture.settle();
    REQUIRE(fixture.bodies.size() == (isExpected ? 1 : 0));
    if (isExpected) {
        CHECK(*fixture.bodies[0].body == Part + Part);
    }
}
