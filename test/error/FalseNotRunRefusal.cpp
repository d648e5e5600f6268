// Guards against answers that report "not run" to a platform client although the request may have
// run, and against successes without a backend server's signature that are taken for its answers.
#include "platform/PlatformDialect.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

bool meansNotRun(unsigned status)
{
    constexpr std::array NotRunStatuses {408U, 421U, 429U, 503U};
    return std::ranges::find(NotRunStatuses, status) != NotRunStatuses.end();
}

} // namespace

TEST_CASE("no refusal of a request that may have run reports that it did not run")
{
    const HttpDialect &dialect = platformDialect();
    for (unsigned n = 0; n <= static_cast<unsigned>(LastReason); ++n) {
        const auto reason = static_cast<Reason>(n);
        const unsigned unknown
            = dialect.encodeRefusal(Outcome::Unknown, reason, "id", milliseconds(100)).status;
        CHECK_MESSAGE(!meansNotRun(unknown), reasonName(reason));
        CHECK(unknown >= 502);
        const RefusalHead notRun
            = dialect.encodeRefusal(Outcome::NotRun, reason, "id", milliseconds(120));
        if (notRun.status == 503) {
            CHECK(headerValue(notRun.headers, "Retry-After") == "0.120");
        } else {
            CHECK_MESSAGE((notRun.status >= 400 && notRun.status < 500), reasonName(reason));
        }
    }
}

TEST_CASE("a success without the server's signature is not trusted")
{
    const HttpDialect &dialect = platformDialect();
    const std::vector<HeaderField> plain {{"X-Attempt-Id", "a"}};
    CHECK_FALSE(dialect.decodeAnswer(200, plain).trusted);
    const std::vector<HeaderField> signedAnswer {{"x-server-seal", "1"}, {"X-Attempt-Id", "a"}};
    CHECK(dialect.decodeAnswer(200, signedAnswer).trusted);
    CHECK(dialect.decodeAnswer(200, signedAnswer).requestId == "a");
}

TEST_CASE("a server's refusal counts as not run only if it says so explicitly")
{
    const HttpDialect &dialect = platformDialect();
    const std::vector<HeaderField> attemptIdOnly {{"X-Attempt-Id", "a"}};
    CHECK_FALSE(dialect.decodeAnswer(503, attemptIdOnly).notRun);
    CHECK_FALSE(dialect.decodeAnswer(503, attemptIdOnly).trusted);
    const std::vector<HeaderField> notExecuted {{"X-Not-Executed", "1"}};
    CHECK(dialect.decodeAnswer(503, notExecuted).notRun);
    CHECK(dialect.decodeAnswer(421, attemptIdOnly).wrongInstance);
    CHECK(dialect.decodeAnswer(500, attemptIdOnly).trusted);
}

TEST_CASE("the daemon overwrites its own headers if the client sends them")
{
    std::vector<HeaderField> fields {
        {"X-Caller-Service", "forged"}, {"x-expected-instance", "old"}, {"X-Other", "1"}};
    RunEnvelope run;
    run.remaining = milliseconds(150);
    run.instance = "i-1";
    run.callerService = "s";
    platformDialect().encodeRun(run, fields);
    CHECK(headerValue(fields, "X-Caller-Service") == "s");
    CHECK(headerValue(fields, "X-Expected-Instance") == "i-1");
    CHECK(headerValue(fields, "X-Deadline-Ms") == "150");
    CHECK(headerValue(fields, "X-Other") == "1");
}

TEST_CASE("a load report may have three or four values")
{
    const std::vector<HeaderField> four {{"X-Server-Load", "3, 1,9,700"}};
    const auto load = platformDialect().decodeAnswer(200, four).load;
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->slownessPercent == 700);
    const std::vector<HeaderField> three {{"X-Server-Load", "3,1,9"}};
    CHECK(platformDialect().decodeAnswer(200, three).load->slownessPercent == 0);
    const std::vector<HeaderField> bad {{"X-Server-Load", "3,x"}};
    CHECK_FALSE(platformDialect().decodeAnswer(200, bad).load);
}
