// Guards against a leaving server that returns to service by one late heartbeat and a false health
// check, because its id was used by an earlier process.
#include "support/BackendFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

std::optional<std::string> answer(const ScriptedServer::Request &)
{
    return answerText(200, "X-Instance-Id: i-1\r\nX-Server-Seal: s\r\n", "done");
}

} // namespace

TEST_CASE("a late heartbeat of a deregistered process with a used id returns it to service if its "
          "health check says so")
{
    BackendFixture fixture(answer);
    fixture.sendHeartbeat(1000, 5);
    fixture.sendHeartbeat(2000, 1);
    fixture.deregister();
    CHECK(std::holds_alternative<AttemptRefused>(fixture.run("a")));
    // Sent before the deregistration.
    fixture.sendHeartbeat(2000, 2);
    fixture.runFor(std::chrono::milliseconds(300));
    CHECK(std::holds_alternative<AttemptRefused>(fixture.run("b")));
}
