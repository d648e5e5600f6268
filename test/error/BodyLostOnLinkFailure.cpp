// Guards against a call that hangs until its deadline or runs with a corrupted body after the
// connection between two daemons broke during the transfer of the body.
#include "kernel/AsioExecutor.h"
#include "services/LinkServer.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Internal;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr AttemptId Attempt {1, 2};
constexpr std::string_view Body = "abcdefgh";
/// Memory for bodies, more than the tests need.
constexpr std::size_t MaxBodyBytes = 1 << 20;
constexpr auto TestTimeout = 5s;
constexpr auto SettlingTime = 200ms;

/// The LinkServer of a serving daemon, and connections over which the test acts as entry daemon.
struct LinkServerFixture
{
    LinkServerFixture() { acceptNext(); }

    std::shared_ptr<LinkConnection> connect()
    {
        tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        const auto link = std::make_shared<LinkConnection>(std::move(socket), executor,
                                                           std::make_shared<LinkTraffic>());
        link->start({[this](const LinkFrame &frame) {
                         bodyRequests += std::holds_alternative<ProceedFrame>(frame.body) ? 1 : 0;
                     },
                     [] {}});
        link->send({{}, {}, HelloFrame {{"entry", 1}}});
        return link;
    }

    void acceptNext()
    {
        acceptor.async_accept([this](boost::system::error_code, tcp::socket socket) {
            server->connectionAccepted(std::move(socket));
        });
    }

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
    std::vector<RunAttempt> runs;
    std::vector<BodyArrived> bodies;
    unsigned bodyRequests = 0;
    std::shared_ptr<LinkServer> server = std::make_shared<LinkServer>(
        LinkServerDependencies {executor,
                                {"serving", 1},
                                std::make_shared<LinkTraffic>(),
                                std::make_shared<SharedBodyBudget>(executor, MaxBodyBytes),
                                [this](BackendMessage message) {
                                    if (auto *run = std::get_if<RunAttempt>(&message)) {
                                        runs.push_back(std::move(*run));
                                    } else if (auto *body = std::get_if<BodyArrived>(&message)) {
                                        bodies.push_back(std::move(*body));
                                    }
                                },
                                [](ExchangeSubject, PeerRequestReceived) {}});
};

LinkFrame bodyPart(std::string_view bytes, bool last)
{
    return {Attempt, {}, BodyPartFrame {std::string(bytes), last}};
}

} // namespace

TEST_CASE("a body is requested again over the next connection if its connection breaks")
{
    LinkServerFixture fixture;
    const auto firstLink = fixture.connect();
    RunFrame run;
    run.pendingBodyBytes = Body.size();
    run.deadlineIn = run.startWithin = run.objectiveIn = 10s;
    firstLink->send({Attempt, {}, run});
    REQUIRE(fixture.runUntil([&] { return fixture.runs.size() == 1; }));
    fixture.runs[0].requestBody();
    REQUIRE(fixture.runUntil([&] { return fixture.bodyRequests == 1; }));
    firstLink->send(bodyPart(Body.substr(0, 4), false));
    fixture.settle();

    fixture.acceptNext();
    const auto secondLink = fixture.connect();
    secondLink->send({Attempt, {}, ResumeFrame {1}});
    REQUIRE(fixture.runUntil([&] { return fixture.bodyRequests == 2; }));
    // Parts that still arrive on the old connection must be ignored: the whole body is sent again
    // on the new one.
    firstLink->send(bodyPart(Body.substr(4), true));
    fixture.settle();
    CHECK(fixture.bodies.empty());
    secondLink->send(bodyPart(Body, true));
    REQUIRE(fixture.runUntil([&] { return fixture.bodies.size() == 1; }));
    CHECK(*fixture.bodies[0].body == Body);
}
