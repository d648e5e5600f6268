// Guards against malformed requests of callers that crash the daemon, run as something else than
// they say, or are refused without a reason; after each of them the daemon must serve other
// callers.
#include "programs/LogExplainer.h"
#include "services/LogOutput.h"
#include "support/CallersFixture.h"
#include "support/MalformedInput.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// Each variant takes a connection, so that fewer are tried than elsewhere.
constexpr std::size_t MaxPositions = 60;
constexpr std::string_view Head = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n";
constexpr std::string_view ValidRequest
    = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nColtsfootwell-Deadline-Ms: 900\r\n"
      "Coltsfootwell-Home-Regions: klang, penang\r\nContent-Length: 5\r\n\r\norder";
constexpr std::string_view ValidChunkedRequest
    = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nord\r\n2\r\ner\r\n0\r\n\r\n";

struct RequestFixture : CallersFixture
{
    RequestFixture()
    {
        RequestLimits limits;
        limits.headerBytes = 2048;
        limits.bodyBytes = 1000;
        setLimits(limits);
    }

    /// Sends bytes over a connection of their own, and ends its sending side if `ends`.
    /// \return the answers; only the first one if the connection stays open.
    std::string answerTo(std::string_view bytes, bool ends)
    {
        boost::system::error_code ec;
        tcp::socket socket(m_context);
        socket.connect(endpoint());
        boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()), ec);
        if (ends) {
            socket.shutdown(tcp::socket::shutdown_send, ec);
        }
        socket.non_blocking(true);
        std::string text;
        std::string buf(4096, '\0');
        const auto end = std::chrono::steady_clock::now() + 5s;
        do {
            runFor(std::chrono::microseconds(50));
            const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            text.append(buf, 0, n);
        } while ((!ec || ec == boost::asio::error::would_block) && (ends || text.empty())
                 && std::chrono::steady_clock::now() < end);
        CHECK(
            (!ends || ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset));
        return text;
    }

    /// \return status and reason of the answer to a request.
    std::string refusalOf(const std::string &bytes)
    {
        const std::string text = answerTo(bytes, false);
        const std::string_view field = "Coltsfootwell-Reason: ";
        const std::size_t at = text.find(field);
        if (at == std::string::npos) {
            return text.substr(0, text.find("\r\n"));
        }
        const std::size_t begin = at + field.size();
        return text.substr(9, 3) + ' ' + text.substr(begin, text.find("\r\n", begin) - begin);
    }

private:
    boost::asio::io_context m_context;
};

/// \return true if the text is empty or begins with an answer that a caller can use.
bool isAnswer(std::string_view text)
{
    constexpr std::array<std::string_view, 8> Statuses {"200", "400", "404", "408",
                                                        "413", "431", "499", "503"};
    return text.empty() || text.starts_with("HTTP/1.1 100 Continue\r\n")
        || (text.starts_with("HTTP/1.1 ")
            && std::ranges::find(Statuses, text.substr(9, 3)) != Statuses.end());
}

} // namespace

TEST_CASE("a malformed request is refused or its connection ends, and the next one is served")
{
    RequestFixture fixture;
    MalformedInput input(
        [&fixture](std::string_view bytes) {
            const std::string answer = fixture.answerTo(bytes, true);
            CAPTURE(answer);
            CHECK(isAnswer(answer));
        },
        MaxPositions);
    input.truncate(ValidRequest);
    input.truncate(ValidChunkedRequest);
    CHECK(fixture.answered == 0);
    input.changeBytes(ValidRequest);
    input.changeBytes(ValidChunkedRequest);
    input.changeNumbers(ValidRequest);
    input.generateBytes();
    const unsigned answered = fixture.answered;
    for (const std::string_view request : {ValidRequest, ValidChunkedRequest}) {
        CHECK(fixture.answerTo(request, false).starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.answered == answered + 2);
}

TEST_CASE(
    "a request beyond a limit, or a malformed one, is refused with its reason and does not run")
{
    RequestFixture fixture;
    const std::string head(Head);
    const auto withHeader = [&head](const std::string &field) {
        return head + field + "\r\nContent-Length: 0\r\n\r\n";
    };
    CHECK(fixture.refusalOf(head + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'b'))
          == "413 body-too-large");
    CHECK(fixture.refusalOf(head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"
                            + std::string(1001, 'b') + "\r\n0\r\n\r\n")
          == "413 body-too-large");
    CHECK(fixture.refusalOf(withHeader("A: " + std::string(3000, 'a'))) == "431 header-too-large");
    CHECK(fixture.refusalOf("no request\r\n\r\n") == "400 bad-header");
    CHECK(fixture.refusalOf(head + "Content-Length: many\r\n\r\n") == "400 bad-header");
    CHECK(fixture.refusalOf(head + "Content-Length: -1\r\n\r\n") == "400 bad-header");
    CHECK(fixture.refusalOf(head + "Content-Length: 99999999999999999999\r\n\r\n")
          == "400 bad-header");
    CHECK(fixture.refusalOf(head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n")
          == "400 bad-header");
    CHECK(fixture.refusalOf(withHeader("Coltsfootwell-Deadline-Ms: soon")) == "400 bad-header");
    CHECK(fixture.refusalOf(withHeader("Coltsfootwell-Deadline-Ms: 0")) == "400 bad-header");
    CHECK(fixture.refusalOf(withHeader("Coltsfootwell-Home-Regions: ,")) == "400 bad-header");
    CHECK(fixture.refusalOf(withHeader("Coltsfootwell-Depth: -1")) == "400 bad-header");
    CHECK(fixture.answered == 0);
}

TEST_CASE(
    "the log line of a malformed request names the header, its value and the rule, or the limit")
{
    RequestFixture fixture;
    const std::string head(Head);
    fixture.refusalOf(head
                      + "Coltsfootwell-Deadline-Ms: soon event=call.ended\r\n"
                        "Content-Length: 0\r\n\r\n");
    fixture.runFor(10ms);
    REQUIRE_FALSE(fixture.logged.empty());
    CHECK(fixture.logged.back()
          == "call.malformed header=Coltsfootwell-Deadline-Ms value=soon?event=call.ended "
             "rule=must be a number of milliseconds from 1 to 3600000");
    fixture.refusalOf(head + "Content-Length: 1001\r\n\r\n");
    fixture.runFor(10ms);
    CHECK(fixture.logged.back()
          == "call.refused reason=body-too-large headerBytes=2048 bodyBytes=1000");
}

TEST_CASE("text of a caller does not add fields to a log line")
{
    MalformedInput input([](std::string_view text) {
        const std::string value = logValue(text);
        CHECK(value.size() <= 120);
        LogLine line;
        CHECK(parseLogLine("timeMs=1 daemon=a event=call.ended request=" + value + " outcome=x",
                           line));
        CHECK(line.event == "call.ended");
        CHECK(line.request == value);
        CHECK(line.fields.size() == 1);
        CHECK(line.fields["outcome"] == "x");
    });
    input.visitAll("id event=call.refused request=other outcome=answer\n timeMs=2");
    CHECK(logValue("9c41d07be2a35f68.1") == "9c41d07be2a35f68.1");
}

TEST_CASE("a request whose length is ambiguous does not smuggle in another one")
{
    RequestFixture fixture;
    const std::string head(Head);
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: bookings\r\n\r\n";
    for (const std::string &fields :
         {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
          std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
          std::string("Content-Length: 5, 6\r\n"), std::string("Content-Length: +5\r\n"),
          std::string("Content-Length : 5\r\n"), std::string("Content-Length: 0x5\r\n")}) {
        CAPTURE(fields);
        const std::string answer
            = fixture.answerTo(head + fields + "\r\n0\r\n\r\n" + smuggled, true);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(fixture.answered == 0);
    }
}

TEST_CASE("a limit of headers beyond 4 GiB does not refuse every request")
{
    CallersFixture fixture;
    RequestLimits limits;
    limits.headerBytes = 1ULL << 32;
    fixture.setLimits(limits);
    tcp::socket caller = fixture.connect();
    CallersFixture::sendRequest(caller);
    CHECK(fixture.received(caller).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request with an unknown transfer coding does not smuggle in another one")
{
    RequestFixture fixture;
    const std::string line = "POST /bookings/x HTTP/1.";
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: bookings\r\n\r\n";
    for (const std::string &rest :
         {std::string("1\r\nTransfer-Encoding: gzip\r\n"),
          std::string("1\r\nTransfer-Encoding: identity\r\n"),
          std::string("1\r\nTransfer-Encoding:\r\n"),
          std::string("1\r\nTransfer-Encoding: xchunked\r\n"),
          std::string("1\r\nTransfer-Encoding: gzip, chunked\r\n"),
          std::string("1\r\nTransfer-Encoding: chunked, gzip\r\n"),
          std::string("1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
          std::string("1\r\nTransfer-Encoding: gzip\r\nContent-Length: 5\r\n"),
          std::string("0\r\nTransfer-Encoding: chunked\r\n")}) {
        CAPTURE(rest);
        const std::string bytes = line + rest + "Host: bookings\r\n\r\n0\r\n\r\n" + smuggled;
        CHECK(fixture.refusalOf(bytes) == "400 bad-header");
        CHECK(fixture.answered == 0);
    }
}
