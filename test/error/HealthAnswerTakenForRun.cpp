// Guards against health checks that share connections with runs: a late copy of a health check's
// answer names no request and is taken for the answer to a run, which is reported as not run.
#include "support/BackendFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a late copy of a rejected health check does not answer a run")
{
    const std::string rejection = answerText(503, "X-Not-Executed: 1\r\n");
    unsigned healthChecks = 0;
    std::string pending;
    BackendFixture fixture([&](const ScriptedServer::Request &request) {
        if (request.head.starts_with("GET /health")) {
            ++healthChecks;
            return rejection;
        }
        const std::string success
            = answerText(200, "X-Attempt-Id: a\r\nX-Server-Seal: s\r\n", "done");
        return request.number == 1 ? success : rejection + success;
    });
    fixture.sendHeartbeat(1, 1);
    for (unsigned n = 0; healthChecks == 0 && n < 200; ++n) {
        fixture.runFor(5ms);
    }
    fixture.runFor(5ms);
    REQUIRE(healthChecks == 1);
    CHECK(std::holds_alternative<AttemptAnswered>(fixture.run("a")));
}
