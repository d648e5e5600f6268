// Guards against an answer without a request id that is taken for the answer to the request at
// hand, although the server names the request in its answers: it belongs to another request.
#include "platform/PlatformDialect.h"
#include "support/ExchangeFixture.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

std::string successNaming(const std::string &requestId)
{
    return answerText(200, "X-Attempt-Id: " + requestId + "\r\nX-Server-Seal: s\r\n", requestId);
}

} // namespace

TEST_CASE("an answer that names no request is passed over once the server has named one")
{
    const std::vector<std::string> strays {
        answerText(503, "X-Not-Executed: 1\r\n"), answerText(421, ""),
        answerText(200, "X-Server-Seal: s\r\n", "stray"), answerText(500, "")};
    for (const std::string &stray : strays) {
        CAPTURE(stray);
        ExchangeFixture fixture(platformDialect(), [&](const ScriptedServer::Request &request) {
            return request.number == 1 ? successNaming("a") : stray + successNaming("b");
        });
        CHECK(fixture.send("a").body == "a");
        const ExchangeOutcome outcome = fixture.send("b");
        CHECK(outcome.body == "b");
        CHECK(outcome.discardedAnswers == 1);
        CHECK(fixture.server().connections() == 1);
    }
}

TEST_CASE("a server that never names requests is believed")
{
    ExchangeFixture fixture(ownDialect(), [](const ScriptedServer::Request &request) {
        return request.number == 1 ? answerText(200, "", "done")
                                   : answerText(503, "Coltsfootwell-Outcome: not-run\r\n");
    });
    CHECK(fixture.send("a").body == "done");
    CHECK(fixture.send("b").envelope.notRun);
    CHECK(fixture.server().connections() == 1);
}

TEST_CASE("an answer that names another request does not answer a request without an id")
{
    ExchangeFixture fixture(platformDialect(), [](const ScriptedServer::Request &request) {
        return request.number == 1 ? successNaming("a")
                                   : successNaming("a") + answerText(503, "X-Not-Executed: 1\r\n");
    });
    CHECK(fixture.send("a").body == "a");
    const ExchangeOutcome outcome = fixture.send("");
    CHECK(outcome.status == 503);
    CHECK(outcome.discardedAnswers == 1);
}
