// Guards against a daemon that goes on as if its version were the newest after the log has stopped
// answering, and against one that refuses work although the log is known to be down.
#include "kernel/ManualExecutor.h"
#include "services/ConfigurationMessages.h"
#include "services/ConfigurationService.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "support/ConfigurationSamples.h"
#include "wire/ConfigurationRecordJson.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

/// Answers at once, or fails at once while it is down.
class ScriptedLog final : public LogClient
{
public:
    ScriptedLog(Executor &executor, const bool &down)
        : m_executor(executor), m_down(down), m_log(24h, 0)
    {
        m_log.append(ConfigurationStream, "1", encodeRecord(samplePublish(0, "aisyah")), {});
    }

    void append(std::string_view stream, std::string_view id, std::string_view content, Duration,
                std::function<void(AppendResult)> done) override
    {
        AppendResult result;
        if (m_down) {
            result.ec = ServiceError::LogUnavailable;
        } else {
            m_log.append(stream, std::string(id), std::string(content), m_executor.now());
        }
        m_executor.post([done = std::move(done), result] { done(result); });
    }

    void read(std::string_view stream, std::uint64_t from, std::uint32_t max,
              std::chrono::milliseconds, Duration, std::function<void(ReadResult)> done) override
    {
        ReadResult result;
        if (m_down) {
            result.ec = ServiceError::LogUnavailable;
        } else {
            result.part = m_log.read(stream, from, max, m_executor.now());
        }
        m_executor.post([done = std::move(done), result] { done(result); });
    }

private:
    Executor &m_executor;
    const bool &m_down;
    MemoryLog m_log;
};

/// One daemon of three with its neighbours' mailboxes.
struct Scene
{
    Scene()
    {
        kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
        kernel.directory().publish(ServiceName::Membership, membership.address());
        ConfigurationSettings settings;
        settings.self = {"a", 1};
        settings.region = "klang";
        settings.dataCentre = "klang-a";
        auto scripted = std::make_unique<ScriptedLog>(executor, logDown);
        log = scripted.get();
        kernel.add(makeConfigurationService(kernel, context, settings, std::move(scripted)));
        kernel.start();
        std::error_code ec;
        service = kernel.directory().find<ConfigurationMessage>(ServiceName::Configuration, ec);
        service.send(SubscribeConfiguration {changes.address()});
        executor.advance(1s);
    }

    void meetPeers()
    {
        met = true;
        tellMembers(members);
    }

    void tellMembers(const Address<MembersChanged> &subscriber) const
    {
        auto members = std::make_shared<std::vector<Member>>();
        for (const char *name : {"a", "b", "c"}) {
            Member member;
            member.id = {name, 1};
            member.region = "klang";
            member.dataCentre = "klang-a";
            // Peers that were never contacted must not be asked over the network in this test.
            member.state
                = name == std::string("a") || met ? MemberState::Alive : MemberState::Unreachable;
            members->push_back(member);
        }
        subscriber.send(MembersChanged {members});
    }

    void peerSays(const char *name, bool logReachable) const
    {
        service.send(
            PeerEvidence {{name, 1}, {}, "klang", 1, std::nullopt, logReachable, executor.now()});
    }

    /// The random pings of 400 ms, of which a share was answered.
    void pingsEnd(bool first, bool second) const
    {
        service.send(PingEvidence {executor.now() - 200ms, first});
        service.send(PingEvidence {executor.now(), second});
    }

    bool logDown = false;
    bool met = false;
    boost::asio::io_context context;
    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    Mailbox<MembershipMessage> membership {
        executor, [this](const MembershipMessage &message) {
            if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                members = subscribe->subscriber;
                tellMembers(subscribe->subscriber);
            } else if (const auto *evidence = std::get_if<LogEvidence>(&message)) {
                logReachable = evidence->logReachable;
            }
        }};
    Mailbox<ConfigurationChanged> changes {executor, [this](const ConfigurationChanged &news) {
                                               last = news;
                                               staleNews += news.fresh ? 0 : 1;
                                           }};
    Address<ConfigurationMessage> service;
    Address<MembersChanged> members;
    ConfigurationChanged last;
    bool logReachable = false;
    unsigned staleNews = 0;
    ScriptedLog *log = nullptr;
};

} // namespace

TEST_CASE("the version turns stale 2.5 s after the last read, and peers are told before")
{
    Scene scene;
    REQUIRE(scene.last.configuration);
    CHECK(scene.last.configuration->version == 1);
    CHECK(scene.last.fresh);
    scene.logDown = true;
    scene.executor.advance(1300ms);
    CHECK(scene.last.fresh);
    CHECK_FALSE(scene.logReachable);
    scene.executor.advance(1300ms);
    CHECK_FALSE(scene.last.fresh);
    scene.logDown = false;
    scene.executor.advance(300ms);
    CHECK(scene.last.fresh);
    CHECK(scene.logReachable);
}

TEST_CASE("the end of the evidence is told ahead and renewed")
{
    Scene scene;
    const TimePoint end = scene.last.freshUntil;
    CHECK(end > scene.executor.now());
    CHECK(end <= scene.executor.now() + 2500ms);
    CHECK(scene.last.isFreshAt(end));
    // No message reaches a frozen process; the time alone shows that the evidence has ended.
    CHECK_FALSE(scene.last.isFreshAt(end + 1ns));
    scene.executor.advance(1s);
    CHECK(scene.last.freshUntil >= end + 800ms);
}

TEST_CASE("a new version from the log does not look stale for a moment")
{
    Scene scene;
    scene.staleNews = 0;
    REQUIRE(scene.log);
    scene.log->append(ConfigurationStream, "2", encodeRecord(samplePublish(1, "aisyah")), {},
                      [](const AppendResult &) {});
    scene.executor.advance(1s);
    REQUIRE(scene.last.configuration->version == 2);
    CHECK(scene.staleNews == 0);
}

TEST_CASE("work goes on while a majority knows that the log is down")
{
    Scene scene;
    scene.meetPeers();
    scene.logDown = true;
    for (unsigned i = 0; i < 20; ++i) {
        scene.executor.advance(400ms);
        scene.peerSays("b", false);
        scene.pingsEnd(true, true);
        scene.executor.advance(100ms);
        CHECK(scene.last.fresh);
    }
    scene.executor.advance(3s);
    CHECK_FALSE(scene.last.fresh);
}

TEST_CASE("work stops when half of the random pings find nobody")
{
    Scene scene;
    scene.meetPeers();
    scene.logDown = true;
    for (unsigned i = 0; i < 8; ++i) {
        scene.executor.advance(500ms);
        scene.peerSays("b", false);
        scene.pingsEnd(true, false);
    }
    scene.executor.advance(1ms);
    CHECK_FALSE(scene.last.fresh);
}

TEST_CASE("a new version read from the log is never reported as stale")
{
    Scene scene;
    scene.log->append(ConfigurationStream, "2", encodeRecord(samplePublish(1, "aisyah")), {},
                      [](const AppendResult &) {});
    scene.executor.advance(500ms);
    CHECK(scene.last.configuration->version == 2);
    CHECK(scene.last.fresh);
    CHECK(scene.staleNews == 0);
}
