// The LinkClient of an entry daemon on a real socket, for tests that act as serving daemon.
#pragma once

#include "services/LinkClient.h"
#include "support/LinkFixture.h"

#include <memory>
#include <optional>
#include <string>

namespace Coltsfootwell::Testing {

constexpr auto LongDeadline = 10min;
/// Memory for the answers that the client receives.
constexpr std::size_t MaxAnswerBytes = 1 << 20;

/// \brief The LinkClient of an entry daemon. The test acts as serving daemon.
struct LinkClientFixture : LinkFixture
{
    void tick() override { client.tick(); }

    /// Waits for the next connection of the client.
    std::shared_ptr<LinkConnection> accept()
    {
        std::shared_ptr<LinkConnection> link;
        acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
            link = startLink(std::move(socket));
        });
        REQUIRE(runUntil([&] { return link != nullptr; }));
        return link;
    }

    /// Accepts all connections from now on, and resets each at its first byte.
    void resetConnections()
    {
        acceptor.async_accept([this](boost::system::error_code, tcp::socket socket) {
            ++resetCount;
            const auto kept = std::make_shared<tcp::socket>(std::move(socket));
            kept->async_wait(tcp::socket::wait_read, [kept](boost::system::error_code) {
                boost::system::error_code ec;
                kept->set_option(boost::asio::socket_base::linger(true, 0), ec);
                kept->close(ec);
            });
            resetConnections();
        });
    }

    /// Sends one attempt of a call that must not run twice.
    void sendOrder(const AttemptId &id = Attempt) { send(id, "POST", "/orders", false); }

    /// Sends one attempt of an idempotent call.
    void sendRead() { send(Attempt, "GET", "/reads", true); }

    std::uint16_t port() const { return acceptor.local_endpoint().port(); }

    std::optional<AttemptResult> result;
    /// Number of connections that resetConnections() has accepted.
    unsigned resetCount = 0;
    std::shared_ptr<AnswerMemory> answerMemory = std::make_shared<AnswerMemory>(
        context, AnswerLimits {MaxAnswerBytes, MaxAnswerBytes, MaxAnswerBytes});
    /// Log lines and metrics of the client.
    std::vector<TelemetryMessage> telemetry;
    LinkClient client {LinkClientDependencies {
        context,
        executor,
        {"entry", 1},
        std::make_shared<LinkTraffic>(),
        answerMemory,
        [](const LoadReportReceived &) {},
        [](const DaemonUnreachable &) {},
        [this](TelemetryMessage message) { telemetry.push_back(std::move(message)); }}};

private:
    void send(const AttemptId &id, std::string method, std::string target, bool idempotent)
    {
        RunAttempt attempt;
        attempt.attempt = id;
        attempt.target = {{"serving", 1}, {"127.0.0.1", port()}, "region"};
        attempt.head
            = std::make_shared<const CallHead>(CallHead {std::move(method), std::move(target), {}});
        attempt.idempotent = idempotent;
        attempt.deadline = executor.now() + LongDeadline;
        attempt.reply = Reply<AttemptResult>(
            executor, [this](std::optional<AttemptResult> ended) { result = std::move(ended); });
        client.sendAttempt(std::move(attempt));
    }
};

inline LinkFrame helloOf(Incarnation process)
{
    return {{}, {}, HelloFrame {{"serving", process}}};
}

} // namespace Coltsfootwell::Testing
