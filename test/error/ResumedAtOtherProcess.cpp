// Guards against an attempt that is reported as "not run" by a process that never received it: an
// order whose run had started was answered with 503, or sent to a second server.
#include "decisions/RunLedger.h"
#include "kernel/AsioExecutor.h"
#include "services/LinkClient.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Internal;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr AttemptId Attempt {1, 2};
constexpr Incarnation FirstProcess = 1;
constexpr Incarnation SecondProcess = 2;
constexpr auto TestTimeout = 5s;
constexpr auto SettlingTime = 200ms;

/// The LinkClient of an entry daemon. The test acts as serving daemon.
struct LinkClientFixture
{
    /// Waits for the next connection of the client.
    std::shared_ptr<LinkConnection> accept()
    {
        std::shared_ptr<LinkConnection> link;
        acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
            link = std::make_shared<LinkConnection>(std::move(socket), executor,
                                                    std::make_shared<LinkTraffic>());
            link->start({[this](LinkFrame frame) { frames.push_back(std::move(frame)); }, [] {}});
        });
        REQUIRE(runUntil([&] { return link != nullptr; }));
        return link;
    }

    void sendOrder()
    {
        RunAttempt attempt;
        attempt.attempt = Attempt;
        attempt.target = {{"serving", FirstProcess}, {"127.0.0.1", port()}, "region"};
        attempt.head = std::make_shared<const CallHead>(CallHead {"POST", "/orders", {}});
        attempt.deadline = executor.now() + 10s;
        attempt.reply = Reply<AttemptResult>(
            executor, [this](std::optional<AttemptResult> ended) { result = std::move(ended); });
        client.sendAttempt(std::move(attempt));
    }

    template <typename Frame>
    const Frame *lastFrame() const
    {
        return frames.empty() ? nullptr : std::get_if<Frame>(&frames.back().body);
    }

    std::uint16_t port() const { return acceptor.local_endpoint().port(); }

    /// Runs the context until frames in transit have arrived.
    void settle()
    {
        context.restart();
        context.run_for(SettlingTime);
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(50ms);
        }
        return done();
    }

    boost::asio::io_context context;
    AsioExecutor executor {context};
    tcp::acceptor acceptor {context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    /// Frames received from the client over all connections.
    std::vector<LinkFrame> frames;
    std::optional<AttemptResult> result;
    LinkClient client {LinkClientDependencies {context,
                                               executor,
                                               {"entry", 1},
                                               std::make_shared<LinkTraffic>(),
                                               [](const LoadReportReceived &) {},
                                               [](const DaemonUnreachable &) {},
                                               [](const TelemetryMessage &) {}}};
};

LinkFrame helloOf(Incarnation process)
{
    return {{}, {}, HelloFrame {{"serving", process}}};
}

} // namespace

TEST_CASE("an attempt is not taken for one that was sent to the process of a later connection")
{
    LinkClientFixture fixture;
    fixture.sendOrder();
    auto link = fixture.accept();
    // The first process receives the order and is killed before its hello arrives.
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<RunFrame>() != nullptr; }));
    link->close();

    // The connection to the next process breaks after its hello and before its answer.
    link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    CHECK(fixture.lastFrame<ResumeFrame>()->sentTo == 0);
    link->send(helloOf(SecondProcess));
    fixture.settle();
    link->close();

    fixture.frames.clear();
    link = fixture.accept();
    link->send(helloOf(SecondProcess));
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    const Incarnation sentTo = fixture.lastFrame<ResumeFrame>()->sentTo;
    CHECK(sentTo != SecondProcess);
    // What a serving daemon answers to it.
    RunLedger ledger(SecondProcess);
    ledger.revoke(Attempt, sentTo) == RevokeVerdict::NeverStarts
        ? link->send({Attempt, {}, RefusalFrame {Reason::Unreachable, false}})
        : link->send({Attempt, {}, LostFrame {}});
    REQUIRE(fixture.runUntil([&] { return fixture.result.has_value(); }));
    CHECK(std::holds_alternative<AttemptLost>(*fixture.result));
}

TEST_CASE("an attempt is resumed at the process whose hello came over its own connection")
{
    LinkClientFixture fixture;
    fixture.sendOrder();
    auto link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<RunFrame>() != nullptr; }));
    link->send(helloOf(FirstProcess));
    fixture.settle();
    link->close();

    link = fixture.accept();
    REQUIRE(fixture.runUntil([&] { return fixture.lastFrame<ResumeFrame>() != nullptr; }));
    CHECK(fixture.lastFrame<ResumeFrame>()->sentTo == FirstProcess);
}
