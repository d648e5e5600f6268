// Guards against answers to HEAD requests on a connection with other requests: the length of a late
// answer then depends on the method of its request, and bytes of a body are read as an answer.
#include "platform/PlatformDialect.h"
#include "support/ExchangeFixture.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

std::string successHead(const std::string &requestId, std::size_t length)
{
    return "HTTP/1.1 200 x\r\nX-Attempt-Id: " + requestId
        + "\r\nX-Server-Seal: s\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

TEST_CASE("the body of a late answer is not read as the answer to a HEAD request")
{
    const std::string body = answerText(503, "X-Attempt-Id: b\r\nX-Not-Executed: 1\r\n");
    const std::string late = successHead("a", body.size()) + body;
    ExchangeFixture fixture(platformDialect(), [&](const ScriptedServer::Request &request) {
        const std::string answer
            = request.head.starts_with("HEAD ") ? successHead("b", body.size()) : late;
        return request.number == 1 ? answer : late + answer;
    });
    CHECK(fixture.send("a", "GET").body == body);
    CHECK(fixture.send("b", "HEAD").status == 200);
}

TEST_CASE("a late answer to a HEAD request does not swallow the answer to the next request")
{
    const std::string late = successHead("a", 4);
    ExchangeFixture fixture(platformDialect(), [&](const ScriptedServer::Request &request) {
        const std::string answer
            = request.head.starts_with("HEAD ") ? late : successHead("b", 4) + "done";
        return request.number == 1 ? answer : late + answer;
    });
    CHECK(fixture.send("a", "HEAD").status == 200);
    CHECK(fixture.send("b", "GET").body == "done");
}
