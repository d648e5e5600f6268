// Guards against a thawed daemon that takes a call before the message arrives which says that its
// configuration is stale.
#include "kernel/ManualExecutor.h"
#include "services/Backend.h"
#include "services/Calls.h"
#include "services/CallsMessage.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "support/ConfigurationSamples.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

const Place Here {{"a", 1}, "klang", "klang-a"};
constexpr auto Evidence = 2500ms;

/// The services "calls" and "backend" without a backend server; no message follows the first news.
struct Bench
{
    Bench()
    {
        Directory &directory = kernel.directory();
        directory.publish(ServiceName::Telemetry, telemetry.address());
        directory.publish(ServiceName::Membership, membership.address());
        directory.publish(ServiceName::Configuration, configuration.address());
        directory.publish(ServiceName::Peers, peers.address());
        kernel.add(makeBackend(kernel, context, Here));
        kernel.add(makeCalls(kernel, Here));
        REQUIRE_FALSE(kernel.start());
        executor.runReady();
    }

    template <typename Result, typename Message>
    std::optional<Result> ask(std::string_view service, Message message)
    {
        auto result = std::make_shared<std::optional<Result>>();
        auto head = std::make_shared<CallHead>();
        head->method = "GET";
        head->target = "/bookings/1";
        message.head = head;
        message.reply = Reply<Result>(
            executor, [result](std::optional<Result> answer) { *result = std::move(answer); });
        std::error_code ec;
        using Mail
            = std::conditional_t<std::is_same_v<Message, RunAttempt>, BackendMessage, CallsMessage>;
        kernel.directory().find<Mail>(service, ec).send(std::move(message));
        executor.runReady();
        return *result;
    }

    std::optional<Reason> runRefused()
    {
        RunAttempt run;
        run.envelope.attempt = AttemptEnvelope {{1, ++attempts}, Here.self, 1, "bookings"};
        run.deadline = executor.now() + 1s;
        const auto result = ask<AttemptResult>(ServiceName::Backend, std::move(run));
        const auto *refused = result ? std::get_if<AttemptRefused>(&*result) : nullptr;
        return refused ? std::optional(refused->reason) : std::nullopt;
    }

    std::optional<Reason> callRefused()
    {
        SubmitCall call;
        call.number = ++attempts;
        call.received = executor.now();
        const auto result = ask<CallResult>(ServiceName::Calls, std::move(call));
        const auto *refused = result ? std::get_if<CallRefused>(&*result) : nullptr;
        return refused ? std::optional(refused->reason) : std::nullopt;
    }

    boost::asio::io_context context;
    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::uint64_t attempts = 0;
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    Mailbox<MembershipMessage> membership {executor, [](const MembershipMessage &) {}};
    Mailbox<PeersMessage> peers {executor, [](const PeersMessage &) {}};
    Mailbox<ConfigurationMessage> configuration {
        executor, [this](const ConfigurationMessage &message) {
            if (const auto *subscribe = std::get_if<SubscribeConfiguration>(&message)) {
                subscribe->subscriber.send(
                    ConfigurationChanged {sampleConfiguration(1), true, executor.now() + Evidence});
            }
        }};
};

} // namespace

TEST_CASE("the serving daemon refuses once its evidence has ended, without being told")
{
    Bench bench;
    CHECK(bench.runRefused() == Reason::NoBackendServer);
    bench.executor.advance(Evidence);
    CHECK(bench.runRefused() == Reason::NoBackendServer);
    bench.executor.advance(1ms);
    CHECK(bench.runRefused() == Reason::StaleConfiguration);
}

TEST_CASE("the entry daemon refuses once its evidence has ended, without being told")
{
    Bench bench;
    CHECK(bench.callRefused() == Reason::NoBackendServer);
    bench.executor.advance(Evidence + 1ms);
    CHECK(bench.callRefused() == Reason::StaleConfiguration);
}
