// Guards against a keyed call that is started by a daemon that does not own its key, is forwarded
// round in circles, or leaves a repeat without an answer.
#include "kernel/ManualExecutor.h"
#include "services/KeyedCalls.h"
#include "services/ServiceNames.h"
#include "wire/MintedKey.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

const DaemonId Self {"d1", 1};
const DaemonId Other {"d2", 5};

struct Bench
{
    Bench()
        : peers(executor,
                [this](PeersMessage message) {
                    if (auto *forward = std::get_if<ForwardCall>(&message)) {
                        forwarded.push_back(std::move(*forward));
                    }
                }),
          keyed(kernel, Place {Self, "r", "dc"}, FullGuards,
                [this](SubmitCall call, const CallFacts &) { runs.push_back(std::move(call)); })
    {
        kernel.directory().publish(ServiceName::Peers, peers.address());
        configuration.logRegion = "r";
        REQUIRE_FALSE(keyed.start());
        Member member;
        member.id = Other;
        member.region = "r";
        keyed.membersChanged(std::span(&member, 1));
    }

    std::shared_ptr<std::optional<CallResult>> submit(const std::string &key,
                                                      std::optional<DaemonId> owner = {},
                                                      std::vector<std::string> homes = {})
    {
        auto result = std::make_shared<std::optional<CallResult>>();
        auto head = std::make_shared<CallHead>();
        head->method = "POST";
        SubmitCall call;
        call.head = head;
        call.envelope.key = key;
        call.envelope.keyOwner = std::move(owner);
        call.reply = Reply<CallResult>(
            executor, [result](std::optional<CallResult> answer) { *result = std::move(answer); });
        CallFacts facts;
        facts.homeRegions = std::move(homes);
        facts.deadline = executor.now() + std::chrono::seconds(1);
        if (!isMinted(key)) {
            call.envelope.keyCreated = std::chrono::duration_cast<std::chrono::seconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count();
        }
        keyed.submit(std::move(call), facts, configuration);
        executor.runReady();
        return result;
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    Configuration configuration;
    std::vector<ForwardCall> forwarded;
    std::vector<SubmitCall> runs;
    Mailbox<PeersMessage> peers;
    KeyedCalls keyed;
};

CallRefused refusalOf(const std::shared_ptr<std::optional<CallResult>> &result)
{
    REQUIRE(*result);
    REQUIRE(std::holds_alternative<CallRefused>(**result));
    return std::get<CallRefused>(**result);
}

} // namespace

TEST_CASE("a repeat at another daemon goes to the owner, and only once")
{
    Bench bench;
    const std::string key = mintedKeyText({Other, std::chrono::seconds(1), 7});
    bench.submit(key);
    REQUIRE(bench.forwarded.size() == 1);
    CHECK(bench.forwarded[0].owner.daemon == Other);
    CHECK(bench.forwarded[0].envelope.keyOwner == Other);
    const CallRefused again = refusalOf(bench.submit(key, Other));
    CHECK(again.outcome == Outcome::Unknown);
    CHECK(again.reason == Reason::KeyOwnerGone);
    CHECK(bench.runs.empty());
}

TEST_CASE("the key of a daemon or incarnation that is gone stays unknown")
{
    Bench bench;
    for (const DaemonId &gone : {DaemonId {"d2", 4}, DaemonId {"d1", 0}, DaemonId {"d9", 1}}) {
        const auto result = bench.submit(mintedKeyText({gone, std::chrono::seconds(1), 7}));
        CHECK(refusalOf(result).outcome == Outcome::Unknown);
        CHECK(refusalOf(result).reason == Reason::KeyOwnerGone);
    }
    CHECK(bench.runs.empty());
    CHECK(bench.forwarded.empty());
}

TEST_CASE("a call is not forwarded to an owner outside its home regions")
{
    Bench bench;
    const auto result
        = bench.submit(mintedKeyText({Other, std::chrono::seconds(1), 7}), {}, {"elsewhere"});
    CHECK(refusalOf(result).reason == Reason::OutsideHomeRegions);
    CHECK(bench.forwarded.empty());
}

TEST_CASE("a repeat waits for the first answer, or until its own deadline")
{
    Bench bench;
    const std::string key = bench.keyed.mint();
    const auto first = bench.submit(key);
    const auto early = bench.submit(key);
    REQUIRE(bench.runs.size() == 1);
    bench.executor.advance(std::chrono::seconds(2));
    CHECK(refusalOf(early).reason == Reason::KeyInProgress);
    const auto second = bench.submit(key);
    AnswerHead head;
    head.status = 201;
    bench.runs[0].reply(CallAnswered {head, pipeOf(bench.executor, "body"), Other});
    bench.executor.runReady();
    const auto third = bench.submit(key);
    for (const auto &result : {first, second, third}) {
        REQUIRE(*result);
        REQUIRE(std::holds_alternative<CallAnswered>(**result));
        CHECK(std::get<CallAnswered>(**result).head.status == 201);
    }
    CHECK(bench.runs.size() == 1);
}

TEST_CASE("an answer that is cut short leaves the key unknown")
{
    Bench bench;
    const std::string key = bench.keyed.mint();
    const auto first = bench.submit(key);
    auto pipe = std::make_shared<BodyPipe>(bench.executor);
    pipe->write("half", [](bool) {});
    pipe->cut();
    bench.runs[0].reply(CallAnswered {AnswerHead {200, {}, 8}, pipe, Other});
    bench.executor.runReady();
    CHECK(refusalOf(first).outcome == Outcome::Unknown);
    CHECK(refusalOf(bench.submit(key)).outcome == Outcome::Unknown);
    CHECK(bench.runs.size() == 1);
}

TEST_CASE("a caller's key needs the log, and none goes to a log outside the home regions")
{
    Bench bench;
    const CallRefused withoutLog = refusalOf(bench.submit("mine"));
    CHECK(withoutLog.outcome == Outcome::Unknown);
    CHECK(withoutLog.reason == Reason::LogUnavailable);
    const CallRefused away = refusalOf(bench.submit("mine", {}, {"elsewhere"}));
    CHECK(away.outcome == Outcome::NotRun);
    CHECK(away.reason == Reason::BadKey);
    CHECK(bench.runs.empty());
}

TEST_CASE("not-run is proved only for a key of this process that was not used")
{
    Bench bench;
    CallEnvelope envelope;
    envelope.key = bench.keyed.mint();
    CHECK(bench.keyed.provesNotRun(envelope));
    bench.submit(envelope.key);
    CHECK_FALSE(bench.keyed.provesNotRun(envelope));
    for (const std::string &key :
         {std::string("mine"), mintedKeyText({Other, std::chrono::seconds(1), 7})}) {
        envelope.key = key;
        CHECK_FALSE(bench.keyed.provesNotRun(envelope));
    }
}
