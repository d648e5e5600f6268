// Guards against an upload that waits until its deadline, or runs with a spoilt body, because the
// connection between two daemons breaks while its body travels.
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
constexpr auto Patience = 5s;
constexpr auto Settle = 200ms;

/// A serving daemon's links, and an entry daemon that a test plays by hand.
struct Bench
{
    Bench() { accept(); }

    std::shared_ptr<LinkConnection> connect()
    {
        tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        const auto link = std::make_shared<LinkConnection>(std::move(socket), executor,
                                                           std::make_shared<LinkTraffic>());
        link->start({[this](const LinkFrame &frame) {
                         proceeds += std::holds_alternative<ProceedFrame>(frame.body) ? 1 : 0;
                     },
                     [] {}});
        link->send({{}, {}, HelloFrame {{"entry", 1}}});
        return link;
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code, tcp::socket socket) {
            server->accepted(std::move(socket));
        });
    }

    /// Lets what was sent arrive.
    void settle()
    {
        context.restart();
        context.run_for(Settle);
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + Patience;
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
    unsigned proceeds = 0;
    std::shared_ptr<LinkServer> server = std::make_shared<LinkServer>(
        LinkServerDependencies {executor,
                                {"serving", 1},
                                std::make_shared<LinkTraffic>(),
                                [this](BackendMessage message) {
                                    if (auto *run = std::get_if<RunAttempt>(&message)) {
                                        runs.push_back(std::move(*run));
                                    } else if (auto *body = std::get_if<BodyArrived>(&message)) {
                                        bodies.push_back(std::move(*body));
                                    }
                                },
                                [](ExchangeSubject, PeerRequestReceived) {}});
};

LinkFrame part(std::string_view bytes, bool last)
{
    return {Attempt, {}, BodyPartFrame {std::string(bytes), last}};
}

} // namespace

TEST_CASE("a body whose connection breaks on the way is asked for again over the next one")
{
    Bench bench;
    const auto first = bench.connect();
    RunFrame run;
    run.laterBytes = Body.size();
    run.deadlineIn = run.startWithin = run.objectiveIn = 10s;
    first->send({Attempt, {}, run});
    REQUIRE(bench.runUntil([&] { return bench.runs.size() == 1; }));
    bench.runs[0].requestBody();
    REQUIRE(bench.runUntil([&] { return bench.proceeds == 1; }));
    first->send(part(Body.substr(0, 4), false));
    bench.settle();

    bench.accept();
    const auto second = bench.connect();
    second->send({Attempt, {}, ResumeFrame {1}});
    REQUIRE(bench.runUntil([&] { return bench.proceeds == 2; }));
    // What is still under way on the old connection comes again on the new one.
    first->send(part(Body.substr(4), true));
    bench.settle();
    CHECK(bench.bodies.empty());
    second->send(part(Body, true));
    REQUIRE(bench.runUntil([&] { return bench.bodies.size() == 1; }));
    CHECK(*bench.bodies[0].body == Body);
}
