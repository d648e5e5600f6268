// Guards against an answer that says "not run" and shows that the request has run: a signature or a
// success is proof of a run, so that neither a repeat nor a refusal is allowed.
#include "platform/PlatformDialect.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("an answer with a signature or a success never means not run")
{
    const HeaderField notExecuted {"X-Not-Executed", "1"};
    const HeaderField signature {"X-Server-Seal", "s"};
    for (const unsigned status : {200U, 400U, 421U, 429U, 500U, 503U}) {
        CAPTURE(status);
        const std::vector<HeaderField> fields {notExecuted, signature};
        const AnswerEnvelope envelope = platformDialect().decodeAnswer(status, fields);
        CHECK_FALSE(envelope.notRun);
        CHECK_FALSE(envelope.wrongInstance);
    }
    const std::vector<HeaderField> unsignedFields {notExecuted};
    const AnswerEnvelope success = platformDialect().decodeAnswer(200, unsignedFields);
    CHECK_FALSE(success.notRun);
    CHECK_FALSE(success.trusted);
}

TEST_CASE("a contradictory answer whose status means not run is not passed on")
{
    const std::vector<HeaderField> fields {{"X-Not-Executed", "1"}, {"X-Server-Seal", "s"}};
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        CAPTURE(status);
        CHECK_FALSE(platformDialect().decodeAnswer(status, fields).trusted);
    }
}
