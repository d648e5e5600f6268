// Guards against an answer whose status no answer may have, such as 000 or 600, that reaches a
// caller, or that is taken for an interim answer, so that the caller waits for another one until
// its deadline.
#include "platform/PlatformDialect.h"
#include "support/ExchangeFixture.h"
#include "support/LinkClientFixture.h"
#include "wire/AnswerStatus.h"

#include <array>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::array InvalidStatuses {0U, 1U, 99U, 101U, 600U, 999U};

std::string textOf(unsigned status)
{
    const std::string digits = std::to_string(status);
    return std::string(3 - digits.size(), '0') + digits;
}

/// \return an answer with this status to the request "a", and a success behind it.
std::string answersText(unsigned status)
{
    constexpr std::string_view Headers
        = " x\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\nContent-Length: ";
    return "HTTP/1.1 " + textOf(status) + std::string(Headers) + "0\r\n\r\nHTTP/1.1 200"
        + std::string(Headers) + "4\r\n\r\ndone";
}

ExchangeOutcome outcomeOf(unsigned status)
{
    ExchangeFixture fixture(platformDialect(), [status](const ScriptedServer::Request &) {
        return answersText(status);
    });
    return fixture.send("a");
}

/// \return what an entry daemon makes of an answer with this status from a serving daemon.
AttemptResult resultOverLink(unsigned status, std::uint64_t bodyBytes)
{
    LinkClientFixture fixture;
    fixture.sendOrder();
    const auto link = fixture.accept();
    link->send(helloOf(1));
    REQUIRE(fixture.runUntil([&] { return fixture.count<RunFrame>(Attempt) == 1; }));
    link->send({Attempt, {}, AnswerFrame {status, {}, {}, false, bodyBytes}});
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    return *fixture.result;
}

} // namespace

TEST_CASE("an answer with an invalid status is lost, whatever follows it")
{
    for (const unsigned status : InvalidStatuses) {
        CAPTURE(status);
        CHECK(outcomeOf(status).kind == ExchangeOutcome::Kind::Lost);
    }
}

TEST_CASE("an interim answer is passed over")
{
    for (const unsigned status : {100U, 102U, 103U, 199U}) {
        CAPTURE(status);
        CHECK(outcomeOf(status).body == "done");
    }
}

TEST_CASE("the lowest and the highest final status are forwarded")
{
    for (const unsigned status : {200U, 599U}) {
        CAPTURE(status);
        const ExchangeOutcome outcome = outcomeOf(status);
        CHECK(outcome.kind == ExchangeOutcome::Kind::Answered);
        CHECK(outcome.status == status);
    }
}

TEST_CASE("an answer with an invalid status from another daemon is lost")
{
    for (const unsigned status : {0U, 100U, 101U, 600U, 1000U, 70'000U}) {
        for (const std::uint64_t bodyBytes : {0U, 100'000U}) {
            CAPTURE(status);
            CAPTURE(bodyBytes);
            CHECK(std::holds_alternative<AttemptLost>(resultOverLink(status, bodyBytes)));
        }
    }
}

TEST_CASE("each three-digit status has one class")
{
    for (unsigned status = 0; status < 1000; ++status) {
        CAPTURE(status);
        const bool isFinal = status >= 200 && status <= 599;
        const bool isInterim = status >= 100 && status <= 199 && status != 101;
        CHECK((statusClass(status) == StatusClass::Final) == isFinal);
        CHECK((statusClass(status) == StatusClass::Interim) == isInterim);
    }
}
