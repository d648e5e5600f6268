// Guards against trailers and chunk extensions of an answer that go on without end: they were kept
// in the read buffer, whose size had no limit.
#include "support/ExchangeFixture.h"
#include "wire/OwnDialect.h"

#include <doctest/doctest.h>

#include <string>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t TooLongBytes = 1 << 20;
constexpr std::size_t AcceptedBytes = 30'000;

std::string makeTrailer(std::size_t bytes)
{
    std::string trailer;
    while (trailer.size() < bytes) {
        trailer += "X-Field: value\r\n";
    }
    return "1\r\na\r\n0\r\n" + trailer + "\r\n";
}

std::string makeExtension(std::size_t bytes)
{
    return "1;x=" + std::string(bytes, 'a') + "\r\na\r\n0\r\n\r\n";
}

ExchangeOutcome outcomeOf(const std::string &body)
{
    ExchangeFixture fixture(ownDialect(), [&body](const ScriptedServer::Request &) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    });
    return fixture.send("");
}

} // namespace

TEST_CASE("an answer with a trailer or a chunk extension without end is lost")
{
    using Kind = ExchangeOutcome::Kind;
    CHECK(outcomeOf(makeTrailer(AcceptedBytes)).kind == Kind::Answered);
    CHECK(outcomeOf(makeExtension(AcceptedBytes)).kind == Kind::Answered);
    CHECK(outcomeOf(makeTrailer(TooLongBytes)).kind == Kind::Lost);
    CHECK(outcomeOf(makeExtension(TooLongBytes)).kind == Kind::Lost);
}
