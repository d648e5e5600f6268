// Guards against a heartbeat of another writer that takes the place of the backend server, because
// it names a service which the configuration does not have.
#include "PlacementFixture.h"
#include "services/BackendTracker.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::seconds;

namespace {

constexpr std::int64_t StartMs = 1'000'000;

BackendHeartbeat heartbeatOf(std::string instance, std::string service, std::int64_t startMs,
                             std::uint64_t sequence)
{
    BackendHeartbeat heartbeat;
    heartbeat.instance = std::move(instance);
    heartbeat.service = std::move(service);
    heartbeat.processStartMs = startMs;
    heartbeat.sequence = sequence;
    heartbeat.slots = 9;
    return heartbeat;
}

/// A tracker whose configuration has the service "s" only.
struct Fixture
{
    Fixture()
    {
        std::vector<Member> members;
        addMembers(members, "a", "a1", "s", 1);
        configuration = configurationFor(members);
    }

    void configure() { tracker.configurationChanged(configuration); }

    RegistrationChange receive(const BackendHeartbeat &heartbeat)
    {
        return tracker.heartbeatReceived(heartbeat, now, StartMs);
    }

    ConfigurationPtr configuration;
    BackendTracker tracker {{{"a1-s-0", 1}, "a", "a1"}};
    TimePoint now {};
};

} // namespace

TEST_CASE("a heartbeat that names an unknown service does not replace the backend server")
{
    Fixture fixture;
    fixture.configure();
    CHECK(fixture.receive(heartbeatOf("a", "s", StartMs, 1)) == RegistrationChange::Replaced);
    CHECK(fixture.receive(heartbeatOf("x", "unknown", StartMs + 10'000, 1))
          == RegistrationChange::Outdated);
    CHECK(fixture.receive(heartbeatOf("a", "unknown", StartMs, 2)) == RegistrationChange::Outdated);
    CHECK(fixture.tracker.service() == "s");
    CHECK(fixture.receive(heartbeatOf("a", "s", StartMs, 3)) == RegistrationChange::Renewed);
}

TEST_CASE("a heartbeat that names an unknown service gives way to any of a known one")
{
    // It came before the configuration, or before the first heartbeat of the server.
    Fixture fixture;
    CHECK(fixture.receive(heartbeatOf("x", "unknown", StartMs + 10'000, 1))
          == RegistrationChange::Replaced);
    fixture.configure();
    CHECK(fixture.receive(heartbeatOf("a", "s", StartMs, 1)) == RegistrationChange::Replaced);
    CHECK(fixture.tracker.service() == "s");
}

TEST_CASE("a server whose service is removed from the configuration and added again is served")
{
    Fixture fixture;
    fixture.configure();
    fixture.receive(heartbeatOf("a", "s", StartMs, 1));
    fixture.tracker.configurationChanged(std::make_shared<const Configuration>());
    CHECK(fixture.receive(heartbeatOf("a", "s", StartMs, 2)) == RegistrationChange::Renewed);
    fixture.configure();
    CHECK(fixture.receive(heartbeatOf("a", "s", StartMs, 3)) == RegistrationChange::Renewed);
    CHECK_FALSE(fixture.tracker.unavailableReason());
}
