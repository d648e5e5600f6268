// Guards against bursts of large request bodies that together exceed the memory of the daemon:
// bodies beyond the limit wait, then are refused as not run, and ordinary calls go on beside them.
#include "decisions/BodyBudget.h"
#include "kernel/ManualExecutor.h"
#include "services/BodyReservation.h"
#include "services/LinkServer.h"
#include "support/SlowCaller.h"
#include "wire/LinkCodec.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t BodyBytes = 1 << 20;
constexpr std::size_t MaxBodyBytes = BodyBytes + BodyBytes / 2;

std::string uploadHead(std::size_t bytes)
{
    return "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

std::string chunkedUpload(std::size_t bytes)
{
    constexpr std::size_t ChunkBytes = 0x10000;
    std::string text = "POST /bookings/x HTTP/1.1\r\nHost: bookings\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < bytes; n += ChunkBytes) {
        text += "10000\r\n" + std::string(ChunkBytes, 'b') + "\r\n";
    }
    return text + "0\r\n\r\n";
}

/// Sends without waiting for the daemon to read; what does not fit into the sockets is left out.
void sendSome(SlowCaller &caller, std::string_view text)
{
    boost::system::error_code ec;
    caller.socket.write_some(boost::asio::buffer(text), ec);
    caller.fixture.runFor(20ms);
}

/// Sends everything, as the daemon reads it.
void sendAll(SlowCaller &caller, std::string_view text)
{
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!text.empty() && std::chrono::steady_clock::now() < end) {
        boost::system::error_code ec;
        text.remove_prefix(caller.socket.write_some(boost::asio::buffer(text), ec));
        caller.fixture.runFor(1ms);
    }
    caller.fixture.runFor(100ms);
}

} // namespace

TEST_CASE("bodies beyond the limit are not accepted, and a single one always is")
{
    BodyBudget budget(100);
    CHECK(budget.tryGrow(0, 90));
    CHECK(budget.tryGrow(90, 150));
    CHECK_FALSE(budget.tryGrow(0, 1));
    budget.release(150);
    CHECK(budget.tryGrow(0, 60));
    CHECK(budget.tryGrow(0, 40));
    CHECK_FALSE(budget.tryGrow(40, 41));
    budget.release(60);
    CHECK(budget.reserved() == 40);
}

TEST_CASE("a body keeps its reservation as long as anything holds it")
{
    ManualExecutor executor;
    const auto budget = std::make_shared<SharedBodyBudget>(executor, MaxBodyBytes);
    BodyReservation reservation(budget);
    CHECK(reservation.grow(BodyBytes));
    BodyPtr body = BodyReservation::makeBody(std::string(BodyBytes, 'b'), std::move(reservation));
    const BodyPtr second = body;
    body.reset();
    BodyReservation other(budget);
    CHECK_FALSE(other.grow(BodyBytes));
    CHECK(other.grow(BodyBudget::MaxFreeBytes));
}

TEST_CASE("a request waits for memory, and is served when another one has ended")
{
    CallersFixture fixture(MaxBodyBytes);
    fixture.holdAnswers = true;
    SlowCaller first(fixture);
    SlowCaller second(fixture);
    sendAll(first, uploadHead(BodyBytes) + std::string(BodyBytes, 'b'));
    CHECK(fixture.answered == 1);
    sendSome(second, uploadHead(BodyBytes));
    fixture.runFor(200ms);
    CHECK(fixture.answered == 1);
    fixture.answerHeld();
    sendAll(second, std::string(BodyBytes, 'b'));
    fixture.runFor(50ms);
    CHECK(fixture.answered == 2);
    fixture.answerHeld();
    second.readFor(1s, "done");
    CHECK(second.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request for which there is no memory is refused as not run, and small ones go on")
{
    CallersFixture fixture(MaxBodyBytes);
    fixture.holdAnswers = true;
    SlowCaller first(fixture);
    sendAll(first, uploadHead(BodyBytes) + std::string(BodyBytes, 'b'));
    const BodyPtr firstBody = fixture.heldBody;
    fixture.holdAnswers = false;
    SlowCaller second(fixture);
    SlowCaller third(fixture);
    SlowCaller small(fixture);
    sendSome(second, uploadHead(BodyBytes));
    sendAll(third, chunkedUpload(BodyBytes));
    small.send(Request);
    small.readFor(1s, "done");
    CHECK(small.received.starts_with("HTTP/1.1 200"));
    second.readFor(1s);
    third.readFor(1s);
    CHECK(second.received.starts_with("HTTP/1.1 503"));
    CHECK(second.received.find("not-run") != std::string::npos);
    CHECK(third.received.starts_with("HTTP/1.1 503"));
    CHECK(fixture.answered == 2);
}

TEST_CASE("a body without a length that exceeds the limit by itself is served")
{
    CallersFixture fixture(MaxBodyBytes);
    SlowCaller caller(fixture);
    sendAll(caller, chunkedUpload(3 * BodyBytes));
    caller.readFor(1s, "done");
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a serving daemon without memory for a body does not ask for it")
{
    boost::asio::io_context context;
    AsioExecutor executor(context);
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    std::vector<RunAttempt> runs;
    const auto budget = std::make_shared<SharedBodyBudget>(executor, MaxBodyBytes);
    const auto server = std::make_shared<Internal::LinkServer>(
        Internal::LinkServerDependencies {executor,
                                          {"serving", 1},
                                          std::make_shared<Internal::LinkTraffic>(),
                                          budget,
                                          [&runs](BackendMessage message) {
                                              if (auto *run = std::get_if<RunAttempt>(&message)) {
                                                  runs.push_back(std::move(*run));
                                              }
                                          },
                                          [](ExchangeSubject, PeerRequestReceived) {}});
    server->connectionAccepted(acceptor.accept());
    for (std::uint64_t i = 1; i <= 2; ++i) {
        RunFrame frame;
        frame.pendingBodyBytes = BodyBytes;
        const std::string bytes = encodeFrame({{1, i}, {}, std::move(frame)});
        boost::asio::write(peer, boost::asio::buffer(bytes));
    }
    context.run_for(100ms);
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].requestBody());
    CHECK_FALSE(runs[1].requestBody());
    server->stop();
}
