// Guards against headers of a backend server being mistaken for those of a daemon.
#include "wire/HeaderNames.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("the outcome not-run is accepted only with status 503")
{
    const HttpDialect &dialect = ownDialect();
    const std::vector<HeaderField> notRun {{"coltsfootwell-outcome", "not-run"}};
    CHECK(dialect.decodeAnswer(503, notRun).notRun);
    CHECK_FALSE(dialect.decodeAnswer(200, notRun).notRun);
    const std::vector<HeaderField> unknown {{std::string(Header::Outcome), "unknown"}};
    CHECK_FALSE(dialect.decodeAnswer(503, unknown).notRun);
}

TEST_CASE("headers of the daemon replace those of the server in answers to callers")
{
    std::vector<HeaderField> fields {{"coltsfootwell-outcome", "not-run"},
                                     {"Coltsfootwell-Reason", "overloaded"},
                                     {"Content-Type", "x"}};
    ownDialect().encodeAnswer("d", fields);
    CHECK(headerValue(fields, Header::Outcome) == "run");
    CHECK_FALSE(headerValue(fields, Header::Reason));
    CHECK(headerValue(fields, Header::ServedBy) == "d");
    CHECK(headerValue(fields, "content-type") == "x");
}
