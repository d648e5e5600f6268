// Guards against a late copy of an older health check's answer that returns a server to service
// which has announced its shutdown since.
#include "support/BackendFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

TEST_CASE("a late copy of an older health check's answer does not return a leaving server")
{
    const std::string healthy = answerText(200, "X-Instance-Id: i-1\r\n");
    unsigned healthChecks = 0;
    bool leaving = false;
    BackendFixture fixture([&](const ScriptedServer::Request &request) {
        ++healthChecks;
        const std::string answer = leaving ? answerText(503, "X-Instance-Id: i-1\r\n") : healthy;
        return request.number == 1 ? answer : healthy + answer;
    });
    const auto awaitHealthCheck = [&] {
        const unsigned before = healthChecks;
        for (unsigned n = 0; healthChecks == before && n < 400; ++n) {
            fixture.runFor(5ms);
        }
        REQUIRE(healthChecks > before);
        fixture.runFor(10ms);
    };
    // The id of the process has been used before, so that only a health check tells a late
    // heartbeat from a late deregistration.
    fixture.sendHeartbeat(1, 1);
    fixture.deregister();
    fixture.sendHeartbeat(std::numeric_limits<std::int64_t>::max(), 1);
    awaitHealthCheck();
    leaving = true;
    fixture.deregister();
    fixture.sendHeartbeat(std::numeric_limits<std::int64_t>::max(), 2);
    awaitHealthCheck();
    const AttemptResult result = fixture.run("a");
    REQUIRE(std::holds_alternative<AttemptRefused>(result));
    CHECK(std::get<AttemptRefused>(result).reason == Reason::NoBackendServer);
}
