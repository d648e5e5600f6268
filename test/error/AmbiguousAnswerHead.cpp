// Guards against an answer with a malformed head that reaches a caller: with the malformed line,
// with another signature than the server's, or with a body that is not the server's, because its
// length or coding was read in another way.
#include "platform/PlatformDialect.h"
#include "support/ClosingServer.h"
#include "wire/AnswerHead.h"

#include <doctest/doctest.h>

#include <array>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::string_literals;

namespace {

using Kind = ExchangeOutcome::Kind;

const std::string Status = "HTTP/1.1 200 OK\r\n";
const std::string Names = "X-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n";
const std::string Length = "Content-Length: 4\r\n";
const std::string Body = "\r\ndone";
const std::string Chunks = "\r\n4\r\ndone\r\n0\r\n\r\n";

ExchangeOutcome answered(const std::string &bytes)
{
    return ClosingServer(platformDialect()).answerWith(bytes);
}

bool isLost(const std::string &bytes)
{
    return answered(bytes).kind == Kind::Lost;
}

} // namespace

TEST_CASE("an answer with a malformed header is lost, wherever the header stands")
{
    const std::array lines {"X Name: a"s,    "X-Name : a"s,   "X\tName: a"s,    "X\1Name: a"s,
                            "X\0Name: a"s,   "X\x7fName: a"s, "X\xe9Name: a"s,  "X\nName: a"s,
                            "X\rName: a"s,   ": a"s,          "X-Name"s,        "X-Name: a\0b"s,
                            "X-Name: a\rb"s, "X-Name: a\1b"s, "X-Name: a\x7f"s, "X(Name): a"s};
    for (const std::string &line : lines) {
        CAPTURE(line);
        const std::string field = line + "\r\n";
        CHECK(isLost(Status + field + Names + Length + Body));
        CHECK(isLost(Status + Names + field + Length + Body));
        CHECK(isLost(Status + Names + Length + field + Body));
        CHECK(isLost(Status + Names + "Transfer-Encoding: chunked\r\n" + field + Chunks));
    }
}

TEST_CASE("an answer with a header whose name starts with a blank is lost")
{
    for (const std::string line : {" X-Name: a\r\n", "\tX-Name: a\r\n", " \r\n", " a\r\n"}) {
        CAPTURE(line);
        // Such a line would become a part of the signature, of the length or of another value.
        CHECK(isLost(Status + line + Names + Length + Body));
        CHECK(isLost(Status + Names + line + Length + Body));
        CHECK(isLost(Status + Names + Length + line + Body));
        CHECK(isLost(Status + Names + Length + "X-Other: b\r\n" + line + Body));
    }
    CHECK(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n c"));
    CHECK_FALSE(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b \r\nC: \td"));
}

TEST_CASE("an answer with two statements on its length is lost")
{
    for (const std::string line :
         {"Content-Length: 3\r\n", "Content-Length: 3, 4\r\n", "Content-Length: -4\r\n",
          "Content-Length: +4\r\n", "Content-Length: 0x4\r\n", "Content-Length:\r\n",
          "Content-Length: 4 4\r\n", "Content-Length: 18446744073709551620\r\n",
          "Transfer-Encoding: chunked\r\n"}) {
        CAPTURE(line);
        CHECK(isLost(Status + Names + line + Length + Body));
        CHECK(isLost(Status + Names + Length + line + Body));
    }
}

TEST_CASE("an answer whose body has a coding that the daemon does not decode is lost")
{
    for (const std::string coding :
         {"gzip", "identity", "", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "chunked;q=1", "gzip\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: gzip"}) {
        CAPTURE(coding);
        const std::string field = "Transfer-Encoding: " + coding + "\r\n";
        CHECK(isLost(Status + Names + field + Chunks));
        CHECK(isLost(Status + Names + field + Body));
        CHECK(isLost(Status + Names + field + Length + Body));
        CHECK(isLost(Status + Names + Length + field + Body));
    }
    CHECK(isLost("HTTP/1.0 200 OK\r\n" + Names + "Transfer-Encoding: chunked\r\n" + Chunks));
}

TEST_CASE("an answer with an unusual head that has one meaning is forwarded whole")
{
    for (const std::string &bytes :
         {Status + Names + Body, Status + Names + "Transfer-Encoding: chunked\r\n" + Chunks,
          Status + Names + "transfer-encoding:\tCHUNKED \r\n" + Chunks,
          Status + Names + "Content-Length: 4, 4\r\n" + Body,
          Status + Names + Length + Length + Body,
          Status + Names + Length + "X-Name: a\tb \xe9\r\n" + Body,
          Status + Names + Length + "!#$%&'*+-.^_`|~09aZ: a\r\n" + Body,
          Status + Names + Length + "X-Name:\r\n" + Body,
          "HTTP/1.0 200 OK\r\n" + Names + Length + Body,
          "HTTP/1.1 200 \r\n" + Names + Length + Body,
          "HTTP/1.1 103 x\r\nX-Name: a\r\n\r\n" + Status + Names + Length + Body}) {
        CAPTURE(bytes);
        const ExchangeOutcome outcome = answered(bytes);
        CHECK(outcome.kind == Kind::Answered);
        CHECK(outcome.envelope.trusted);
        CHECK(outcome.body == "done");
    }
}
