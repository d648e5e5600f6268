// Guards against an idempotent run that is reported as not run, since its second connection failed,
// although the server may have run it when it was sent over the first one.
#include "support/BackendFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

std::string success(const std::string &requestId)
{
    return answerText(200, "X-Attempt-Id: " + requestId + "\r\nX-Server-Seal: s\r\n", "done");
}

} // namespace

TEST_CASE("a run whose first send got no answer is lost if the server cannot be reached again")
{
    ScriptedServer *server = nullptr;
    BackendFixture fixture(
        [&](const ScriptedServer::Request &request) -> std::optional<std::string> {
            if (request.number == 1) {
                return success("a");
            }
            server->stopListening();
            return std::nullopt;
        });
    server = &fixture.server();
    fixture.sendHeartbeat(1, 1);
    REQUIRE(std::holds_alternative<AttemptAnswered>(fixture.run("a", true)));
    CHECK(std::holds_alternative<AttemptLost>(fixture.run("b", true)));
}

TEST_CASE("a run whose first send got no answer is lost if the server rejects the second one")
{
    BackendFixture fixture(
        [](const ScriptedServer::Request &request) -> std::optional<std::string> {
            if (request.connection == 2) {
                return answerText(503, "X-Attempt-Id: b\r\nX-Not-Executed: 1\r\n");
            }
            return request.number == 1 ? std::optional(success("a")) : std::nullopt;
        });
    fixture.sendHeartbeat(1, 1);
    REQUIRE(std::holds_alternative<AttemptAnswered>(fixture.run("a", true)));
    CHECK(std::holds_alternative<AttemptLost>(fixture.run("b", true)));
}
