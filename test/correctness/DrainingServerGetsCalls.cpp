// Guards against new work for a server that leaves, and against late heartbeats that undo what a
// later one has said.
#include "decisions/BackendRegistration.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::seconds;

namespace {

BackendHeartbeat heartbeatOf(std::string instance, std::int64_t processStartMs,
                             std::uint64_t sequence, AnnouncedState state = AnnouncedState::Ready)
{
    BackendHeartbeat heartbeat;
    heartbeat.instance = std::move(instance);
    heartbeat.processStartMs = processStartMs;
    heartbeat.sequence = sequence;
    heartbeat.state = state;
    heartbeat.service = "s";
    heartbeat.slots = 9;
    return heartbeat;
}

} // namespace

TEST_CASE("a server that drains stays leaving whatever older heartbeats say")
{
    BackendRegistration registration;
    TimePoint now {};
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 10, 1), now)
          == RegistrationChange::Replaced);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 10, 3, AnnouncedState::Draining), now)
          == RegistrationChange::Leaving);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 10, 2), now)
          == RegistrationChange::Outdated);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 10, 4), now + seconds(1))
          == RegistrationChange::Renewed);
    CHECK(registration.leavingSince() == now);
}

TEST_CASE("a server that has said farewell is not brought back by its own late heartbeats")
{
    BackendRegistration registration;
    const TimePoint now {};
    registration.heartbeatReceived(heartbeatOf("a", 10, 1), now);
    CHECK(registration.processLeft("a", now) == RegistrationChange::Leaving);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 10, 9), now)
          == RegistrationChange::Outdated);
    CHECK(registration.leavingSince());
}

TEST_CASE("a later process replaces an earlier one, also under the same name")
{
    BackendRegistration registration;
    const TimePoint now {};
    registration.heartbeatReceived(heartbeatOf("a", 10, 50), now);
    registration.processLeft("a", now);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 20, 1), now)
          == RegistrationChange::Replaced);
    CHECK_FALSE(registration.leavingSince());
    CHECK(registration.heartbeatReceived(heartbeatOf("old", 10, 60), now)
          == RegistrationChange::Outdated);
    CHECK(registration.heartbeatReceived(heartbeatOf("b", 30, 1), now)
          == RegistrationChange::Replaced);
}

TEST_CASE("the farewell of another process changes nothing")
{
    BackendRegistration registration;
    const TimePoint now {};
    registration.heartbeatReceived(heartbeatOf("b", 30, 1), now);
    CHECK(registration.processLeft("a", now) == RegistrationChange::Outdated);
    CHECK_FALSE(registration.leavingSince());
}
