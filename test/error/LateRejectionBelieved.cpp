// Guards against a late copy of a rejection or a failure that is taken for the answer to the next
// send of the same request, which has the same id: the request is reported as not run and runs.
#include "platform/PlatformDialect.h"
#include "support/ExchangeFixture.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

struct DialectTexts
{
    const HttpDialect &dialect;
    std::string refusal;
    std::string success;
};

/// \return answers to the request "a".
std::vector<DialectTexts> refusalsAndFailures()
{
    const std::string name = "X-Attempt-Id: a\r\n";
    const std::string success = answerText(200, name + "X-Server-Seal: s\r\n", "done");
    return {{platformDialect(), answerText(503, name + "X-Not-Executed: 1\r\n"), success},
            {platformDialect(), answerText(421, name), success},
            {platformDialect(), answerText(500, name + "X-Server-Seal: s\r\n"), success},
            {platformDialect(), answerText(200, name, "unsigned"), success},
            {ownDialect(), answerText(503, "Coltsfootwell-Outcome: not-run\r\n"),
             answerText(200, "", "done")},
            {ownDialect(), answerText(500, ""), answerText(200, "", "done")}};
}

} // namespace

TEST_CASE("a late copy of a refusal or failure does not answer the next send of the same request")
{
    for (const DialectTexts &texts : refusalsAndFailures()) {
        CAPTURE(texts.refusal);
        ExchangeFixture fixture(texts.dialect, [&](const ScriptedServer::Request &request) {
            if (request.connection > 1) {
                return texts.success;
            }
            return request.number == 1 ? texts.refusal : texts.refusal + texts.success;
        });
        CHECK(fixture.send("a").body != "done");
        CHECK(fixture.send("a").body == "done");
    }
}

TEST_CASE("a late copy of a refusal does not answer the next send of a request without an id")
{
    const std::string refusal = answerText(503, "Coltsfootwell-Outcome: not-run\r\n");
    ExchangeFixture fixture(ownDialect(), [&](const ScriptedServer::Request &request) {
        const std::string success = answerText(200, "", "done");
        if (request.connection > 1) {
            return success;
        }
        return request.number == 1 ? refusal : refusal + success;
    });
    CHECK(fixture.send("").envelope.notRun);
    CHECK(fixture.send("").body == "done");
}

TEST_CASE("a connection is kept after answers that end their request")
{
    ExchangeFixture fixture(platformDialect(), [](const ScriptedServer::Request &) {
        return answerText(200, "X-Attempt-Id: a\r\nX-Server-Seal: s\r\n", "done");
    });
    CHECK(fixture.send("a").body == "done");
    CHECK(fixture.send("a").body == "done");
    CHECK(fixture.server().connections() == 1);
}
