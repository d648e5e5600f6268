// Guards against malformed answers of backend servers that crash the daemon, or that count as whole
// answers to a request which they do not belong to.
#include "platform/PlatformDialect.h"
#include "support/ClosingServer.h"
#include "support/MalformedInput.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::string_view Body = "the bytes";
constexpr std::string_view ValidAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: "
                                         "3e1b.07\r\nX-Server-Load: 3,0,8,100\r\n"
                                         "Content-Length: 9\r\n\r\nthe bytes";
constexpr std::string_view ValidChunkedAnswer
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: 3e1b.07\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n6\r\n bytes\r\n0\r\n\r\n";

using Kind = ExchangeOutcome::Kind;

} // namespace

TEST_CASE("an answer that is cut is never whole")
{
    ClosingServer server(platformDialect());
    for (const std::string_view valid : {ValidAnswer, ValidChunkedAnswer}) {
        const ExchangeOutcome whole = server.answerWith(valid);
        CHECK(whole.kind == Kind::Answered);
        CHECK(whole.body == Body);
        CHECK(whole.envelope.trusted);
        for (std::size_t n = 0; n < valid.size(); ++n) {
            CAPTURE(n);
            CHECK(server.answerWith(valid.substr(0, n)).kind == Kind::Lost);
        }
    }
}

TEST_CASE("a malformed answer is lost, or belongs to the request and is within limits")
{
    ClosingServer server(platformDialect());
    MalformedInput input([&server](std::string_view bytes) {
        const ExchangeOutcome outcome = server.answerWith(bytes);
        CHECK((outcome.kind == Kind::Answered || outcome.kind == Kind::Lost));
        if (outcome.kind != Kind::Answered) {
            return;
        }
        CHECK(outcome.status >= 200);
        CHECK(outcome.body.size() <= bytes.size());
        const std::string &id = outcome.envelope.requestId;
        CHECK((id.empty() || id == "id-1"));
        const bool success = outcome.status < 300;
        const bool hasSeal = headerValue(outcome.headers, "X-Server-Seal").has_value();
        CHECK((!success || outcome.envelope.trusted == hasSeal));
        CHECK_FALSE((hasSeal && outcome.envelope.notRun));
    });
    input.changeBytes(ValidAnswer);
    input.changeNumbers(ValidAnswer);
    input.changeBytes(ValidChunkedAnswer);
    input.generateBytes();
}

TEST_CASE("the headers of an answer and of a health check are decoded, whatever they hold")
{
    struct Row
    {
        std::string_view header;
        std::string_view value;
    };
    constexpr std::array Rows {Row {"X-Server-Load", "3,0,8,100"}, Row {"X-Cold-Ms", "1500.5"},
                               Row {"X-Instance-Id", "i-7f3a91c2"},
                               Row {"X-Attempt-Id", "9c41d07be2a35f68"},
                               Row {"Coltsfootwell-Outcome", "not-run"}};
    for (const Row &row : Rows) {
        MalformedInput input([&row](std::string_view value) {
            const std::vector<HeaderField> fields {{std::string(row.header), std::string(value)}};
            for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U}) {
                for (const HttpDialect *dialect : {&platformDialect(), &ownDialect()}) {
                    const AnswerEnvelope answer = dialect->decodeAnswer(status, fields);
                    CHECK((!answer.notRun || status != 200));
                    const ProbeReport probe = dialect->decodeProbe(status, fields, value);
                    CHECK((!probe.healthy || status == 200));
                    CHECK(probe.coldRemaining.value_or(std::chrono::milliseconds(0))
                          >= std::chrono::milliseconds(0));
                }
            }
        });
        input.visitAll(row.value);
    }
}
