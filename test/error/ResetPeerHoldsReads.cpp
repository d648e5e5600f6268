// Guards against an idempotent attempt that is kept until its deadline at a peer that accepts and
// resets each connection, although another daemon could run it.
#include "support/LinkClientFixture.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

TEST_CASE("an idempotent attempt ends soon at a peer that resets each connection")
{
    LinkClientFixture fixture;
    const std::function<void()> acceptNext = [&] {
        fixture.acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
            const auto kept = std::make_shared<tcp::socket>(std::move(socket));
            kept->async_wait(tcp::socket::wait_read, [kept](boost::system::error_code) {
                boost::system::error_code ec;
                kept->set_option(boost::asio::socket_base::linger(true, 0), ec);
                kept->close(ec);
            });
            acceptNext();
        });
    };
    acceptNext();
    RunAttempt attempt;
    attempt.attempt = Attempt;
    attempt.target = {{"serving", 1}, {"127.0.0.1", fixture.port()}, "region"};
    attempt.head = std::make_shared<const CallHead>(CallHead {"GET", "/reads", {}});
    attempt.idempotent = true;
    attempt.deadline = fixture.executor.now() + LongDeadline;
    bool ended = false;
    attempt.reply = Reply<AttemptResult>(fixture.executor,
                                         [&](std::optional<AttemptResult>) { ended = true; });
    fixture.client.sendAttempt(std::move(attempt));
    // More than ResumeTimeout; a peer that refuses connections ends the attempt at once.
    const auto end = std::chrono::steady_clock::now() + 3s;
    fixture.runUntil([&] { return ended || std::chrono::steady_clock::now() >= end; });
    CHECK(ended);
}
