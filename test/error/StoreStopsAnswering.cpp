// Guards against a daemon that loses the configuration when the store goes away, goes back when it
// returns, or misses what was published while it had forgotten its history.
#include "decisions/StoreReaders.h"
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"
#include "services/CallMessages.h"
#include "services/ConfigurationFollower.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "support/ConfigurationSamples.h"
#include "wire/ConfigurationJson.h"
#include "wire/ConfigurationTextCache.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

/// \return what another daemon answers that knows a version up to a position.
std::string peerAnswer(std::uint64_t position, std::set<std::string> out,
                       ConfigurationVersion version)
{
    ConfigurationTextCache texts;
    texts.add(version, OwnConfigurationKey, encodeConfiguration(*sampleConfiguration(version)));
    StateAnswer answer;
    answer.position = position;
    answer.outOfService = std::move(out);
    texts.fillAnswer(answer, 0);
    return encodeStateAnswer(answer);
}

/// A store in memory that answers at once, or not at all.
class FakeStore final : public StoreClient
{
public:
    explicit FakeStore(Executor &executor) : m_executor(executor) { }

    void publish(ConfigurationVersion version)
    {
        records.push_back({std::string(OwnConfigurationKey),
                           encodeConfiguration(*sampleConfiguration(version)), end()});
        serveReader();
    }

    void forgetHistory()
    {
        first = end();
        serveReader();
    }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        ++newestCalls;
        NewestRecords newest;
        newest.end = end();
        if (onPage) {
            newest = onPage(newestCalls);
            m_executor.post([done, newest] { done(newest); });
            return;
        }
        if (!available) {
            newest.ec = ServiceError::StoreUnavailable;
        } else if (!records.empty()) {
            newest.records.push_back(records.back());
        }
        m_executor.post([done, newest] { done(newest); });
    }

    void read(std::string_view, std::uint64_t from, std::chrono::milliseconds,
              std::function<void(RecordsRead)> done) override
    {
        ++reads;
        m_from = from;
        m_reader = std::move(done);
        serveReader();
    }

    void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                std::function<void(RecordAppended)>) override
    {
    }

    bool isReceiving() const override { return arriving; }

    void cancelAll() override
    {
        ++stops;
        m_reader = nullptr;
    }

    void fail()
    {
        available = false;
        if (auto reader = std::exchange(m_reader, nullptr)) {
            RecordsRead read;
            read.ec = ServiceError::StoreUnavailable;
            reader(read);
        }
    }

    std::uint64_t end() const { return records.size(); }

    std::vector<StoreRecord> records;
    std::uint64_t first = 0;
    unsigned newestCalls = 0;
    unsigned reads = 0;
    /// Makes the pages of newest records instead of the store; gets the number of the call.
    std::function<NewestRecords(unsigned)> onPage;
    bool available = true;
    /// True for a connection that has gone silent: reads are never answered.
    bool silent = false;
    /// True while an answer arrives over a narrow link.
    bool arriving = false;
    unsigned stops = 0;

private:
    void serveReader()
    {
        if (!m_reader || silent || !available) {
            return;
        }
        RecordsRead read;
        read.next = m_from;
        if (m_from < first) {
            read.ec = ServiceError::HistoryLost;
        } else if (m_from < end()) {
            read.records.assign(records.begin() + static_cast<std::ptrdiff_t>(m_from),
                                records.end());
            read.next = end();
            read.end = end();
        } else {
            return;
        }
        m_executor.post([reader = std::exchange(m_reader, nullptr), read] { reader(read); });
    }

    Executor &m_executor;
    std::uint64_t m_from = 0;
    std::function<void(RecordsRead)> m_reader;
};

struct Bench
{
    /// \param self name among the members; empty for a daemon that is on its own.
    explicit Bench(const std::string &self = "")
    {
        Directory &directory = kernel.directory();
        directory.publish(ServiceName::Telemetry, telemetry.address());
        directory.publish(ServiceName::Membership, membership.address());
        directory.publish(ServiceName::Links, links.address());
        kernel.add(
            makeConfigurationFollower(kernel, store, {&ownControlFormat(), {}, "", nullptr, self}));
    }

    void start()
    {
        REQUIRE_FALSE(kernel.start());
        std::error_code ec;
        configuration
            = kernel.directory().find<ConfigurationMessage>(ServiceName::Configuration, ec);
        configuration.send(SubscribeConfiguration {subscriber.address()});
        executor.advance(100ms);
    }

    void tellMembers()
    {
        if (!members.empty()) {
            membersSubscriber.send(
                MembersChanged {std::make_shared<const std::vector<Member>>(members)});
        }
    }

    ConfigurationVersion version() const { return inForce ? inForce->version : 0; }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::shared_ptr<FakeStore> store = std::make_shared<FakeStore>(executor);
    ConfigurationPtr inForce;
    std::vector<SendPeerRequest> asked;
    Address<ConfigurationMessage> configuration;
    Mailbox<ConfigurationChanged> subscriber {
        executor, [this](ConfigurationChanged news) { inForce = news.configuration; }};
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    std::vector<Member> members;
    Address<MembersChanged> membersSubscriber;
    Mailbox<MembershipMessage> membership {executor, [this](const MembershipMessage &message) {
                                               if (const auto *subscribe
                                                   = std::get_if<SubscribeMembers>(&message)) {
                                                   membersSubscriber = subscribe->subscriber;
                                                   tellMembers();
                                               }
                                           }};
    Mailbox<LinksMessage> links {executor, [this](LinksMessage message) {
                                     if (auto *ask = std::get_if<SendPeerRequest>(&message)) {
                                         asked.push_back(std::move(*ask));
                                     }
                                 }};
};

} // namespace

TEST_CASE("versions are followed as they are published")
{
    Bench bench;
    bench.store->publish(3);
    bench.start();
    CHECK(bench.version() == 3);
    bench.store->publish(5);
    bench.executor.advance(1ms);
    CHECK(bench.version() == 5);
    bench.store->publish(4);
    bench.executor.advance(1ms);
    CHECK(bench.version() == 5);
}

TEST_CASE("the last version holds while the store is away, and a later one follows its return")
{
    Bench bench;
    bench.store->publish(3);
    bench.start();
    bench.store->fail();
    bench.executor.advance(30s);
    CHECK(bench.version() == 3);
    bench.store->records.push_back(
        {std::string(OwnConfigurationKey), encodeConfiguration(*sampleConfiguration(7)), 1});
    bench.store->available = true;
    bench.executor.advance(1500ms);
    CHECK(bench.version() == 7);
}

TEST_CASE("a store that is away is not asked more than a few times a second")
{
    Bench bench;
    bench.start();
    bench.store->fail();
    const unsigned before = bench.store->newestCalls;
    bench.executor.advance(20s);
    CHECK(bench.store->newestCalls - before <= 40);
    CHECK(bench.store->newestCalls - before >= 10);
}

TEST_CASE("after forgotten history the newest records are read again")
{
    Bench bench;
    bench.store->publish(3);
    bench.start();
    bench.store->silent = true;
    bench.store->publish(9);
    bench.store->silent = false;
    bench.store->forgetHistory();
    bench.executor.advance(10ms);
    CHECK(bench.version() == 9);
}

TEST_CASE("a read that has gone silent is noticed by what another daemon knows")
{
    Bench bench;
    bench.store->publish(3);
    bench.start();
    bench.store->silent = true;
    bench.store->publish(9);
    bench.executor.advance(1s);
    CHECK(bench.version() == 3);
    bench.configuration.send(PeerPositionReported {{"other", 1}, {"127.0.0.1", 1}, 2});
    bench.executor.advance(300ms);
    CHECK(bench.version() == 9);
}

TEST_CASE("a long answer that is arriving is neither dropped nor asked for elsewhere")
{
    // Dropped reads brought a configuration of 2,000 routes again and again over the link that a
    // region shares, so that it came into force after 3.9 s instead of within 3 s.
    Bench bench;
    bench.store->publish(3);
    bench.start();
    bench.store->silent = true;
    bench.store->publish(9);
    bench.store->arriving = true;
    bench.configuration.send(PeerPositionReported {{"other", 1}, {"127.0.0.1", 1}, 2});
    bench.executor.advance(2s);
    CHECK(bench.store->stops == 0);
    CHECK(bench.asked.empty());
    bench.store->arriving = false;
    bench.executor.advance(300ms);
    CHECK(bench.asked.size() == 1);
    CHECK(bench.version() == 9);
}

TEST_CASE("a version that is published between two pages of newest records is not missed")
{
    // Pages are no snapshot: the end of a later page holds for records that the earlier one lacks.
    Bench bench;
    bench.store->publish(3);
    bench.store->onPage = [&store = *bench.store](unsigned call) {
        NewestRecords page;
        page.hasMore = call == 1;
        if (page.hasMore) {
            page.records.push_back(store.records.back());
        } else {
            store.publish(9);
        }
        page.end = store.end();
        return page;
    };
    bench.start();
    bench.executor.advance(1s);
    CHECK(bench.version() == 9);
}

TEST_CASE("another daemon tells the configuration while the store is away")
{
    Bench bench;
    bench.store->available = false;
    bench.start();
    CHECK(bench.version() == 0);
    bench.configuration.send(PeerPositionReported {{"other", 1}, {"127.0.0.1", 1}, 4});
    bench.executor.advance(300ms);
    REQUIRE(bench.asked.size() == 1);
    bench.asked[0].reply(peerAnswer(4, {"klang-a"}, 6));
    bench.executor.advance(1ms);
    CHECK(bench.version() == 6);
    CHECK_FALSE(bench.inForce->inService("klang-a"));
    CHECK(bench.inForce->inService("penang-a"));
}

TEST_CASE("a daemon that others tell asks them for a while before it reads the store")
{
    std::vector<Member> members(3);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].id = {"daemon-" + std::to_string(i), 1};
    }
    const auto told = std::ranges::find_if(members, [&members](const Member &member) {
        return !isStoreReader(member.id.name, members);
    });
    Bench bench(told->id.name);
    bench.members = members;
    bench.store->publish(3);
    bench.start();
    const auto hear = [&bench](std::uint64_t position, Duration time) {
        const TimePoint end = bench.executor.now() + time;
        while (bench.executor.now() < end) {
            bench.configuration.send(
                PeerPositionReported {{"other", 1}, {"127.0.0.1", 1}, position});
            bench.executor.advance(100ms);
        }
    };
    hear(2, 100ms);
    REQUIRE(bench.asked.size() == 1);
    // The other daemon knows more, but no other version.
    bench.asked[0].reply(peerAnswer(2, {}, 3));
    hear(2, 10s);
    const unsigned reads = bench.store->reads;
    hear(3, 800ms);
    CHECK(bench.asked.size() > 1);
    CHECK(bench.store->reads == reads);
    // The store answers neither, and members come and go meanwhile.
    bench.store->silent = true;
    const unsigned stops = bench.store->stops;
    hear(3, 1200ms);
    CHECK(bench.store->reads > reads);
    bench.tellMembers();
    bench.executor.advance(1ms);
    CHECK(bench.store->stops == stops);
}

TEST_CASE("a malformed record is passed over and the last good version holds")
{
    Bench bench;
    bench.store->publish(3);
    bench.start();
    bench.store->records.push_back({std::string(OwnConfigurationKey), "{", 1});
    bench.store->publish(8);
    bench.executor.advance(1ms);
    CHECK(bench.version() == 8);
}
