// Guards against services that never hear that the store has come back from an older copy, and so
// do not append again what it has lost: only the service "configuration" reads the store all the
// time, or learns the epoch from other daemons.
#include "kernel/ManualExecutor.h"
#include "services/CallMessages.h"
#include "services/ConfigurationFollower.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/StoreClient.h"
#include "services/TelemetryMessages.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

/// A store without records, whose long polls end only when it returns from a copy.
class ReturningStore final : public StoreClient
{
public:
    explicit ReturningStore(Executor &executor) : m_executor(executor) { }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        NewestRecords newest;
        newest.end = 5;
        newest.epoch = m_epoch;
        m_executor.post([done, newest] { done(newest); });
    }

    void read(std::string_view, std::uint64_t, std::chrono::milliseconds,
              std::function<void(RecordsRead)> done) override
    {
        m_longPoll = std::move(done);
    }

    void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                std::function<void(RecordAppended)>) override
    {
    }

    bool isReceiving() const override { return false; }
    void cancelAll() override { m_longPoll = nullptr; }

    /// Comes back from a copy, which the long poll notices.
    void returnFromCopy()
    {
        ++m_epoch;
        RecordsRead lost;
        lost.ec = ServiceError::HistoryLost;
        lost.epoch = m_epoch;
        REQUIRE(m_longPoll);
        std::exchange(m_longPoll, nullptr)(lost);
    }

private:
    Executor &m_executor;
    StoreEpoch m_epoch = 1;
    std::function<void(RecordsRead)> m_longPoll;
};

struct Fixture
{
    Fixture()
    {
        kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
        kernel.directory().publish(ServiceName::Links, links.address());
        kernel.directory().publish(ServiceName::Membership, membership.address());
        service = makeConfigurationFollower(kernel, store,
                                            {&ownControlFormat(), {}, "", nullptr, "h1"});
    }

    void subscribe()
    {
        std::error_code ec;
        kernel.directory()
            .find<ConfigurationMessage>(ServiceName::Configuration, ec)
            .send(SubscribeStoreEpoch {epochs.address()});
        executor.runReady();
    }

    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::vector<StoreEpoch> announced;
    Mailbox<StoreEpochChanged> epochs {
        executor, [this](const StoreEpochChanged &message) { announced.push_back(message.epoch); }};
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    Mailbox<LinksMessage> links {executor, [](const LinksMessage &) {}};
    Mailbox<MembershipMessage> membership {executor, [](const MembershipMessage &) {}};
    std::shared_ptr<ReturningStore> store = std::make_shared<ReturningStore>(executor);
    std::unique_ptr<Service> service;
};

} // namespace

TEST_CASE("a subscriber is told of the epoch once there is a state, and of each later one once")
{
    Fixture fixture;
    fixture.subscribe();
    CHECK(fixture.announced.empty());
    REQUIRE_FALSE(fixture.service->start());
    fixture.executor.advance(1s);
    REQUIRE(fixture.announced.size() == 1);
    CHECK(fixture.announced[0] == 1);
    fixture.store->returnFromCopy();
    fixture.executor.advance(1s);
    REQUIRE(fixture.announced.size() == 2);
    CHECK(fixture.announced[1] == 2);
}

TEST_CASE("a later subscriber is told of the epoch at once")
{
    Fixture fixture;
    REQUIRE_FALSE(fixture.service->start());
    fixture.executor.advance(1s);
    fixture.subscribe();
    REQUIRE(fixture.announced.size() == 1);
    CHECK(fixture.announced[0] == 1);
}
