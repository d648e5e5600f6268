// Guards against a backend server that is locked out because the clock of its host was set back
// before it started, so that it seems older than a process that has ended.
#include "decisions/BackendRegistration.h"
#include "support/Heartbeats.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::seconds;

namespace {

constexpr std::int64_t StartMs = 1'000'000;
constexpr std::int64_t EarlierStartMs = 990'000;

} // namespace

TEST_CASE("a process with an earlier start is registered once the current one is silent for long")
{
    for (const std::string instance : {"a", "b"}) {
        BackendRegistration registration;
        const TimePoint now {};
        registration.heartbeatReceived(heartbeatOf("a", StartMs, 50), now, StartMs);
        CHECK(registration.heartbeatReceived(heartbeatOf(instance, EarlierStartMs, 3),
                                             now + seconds(5), StartMs)
              == RegistrationChange::Outdated);
        CHECK(registration.heartbeatReceived(
                  heartbeatOf(instance, EarlierStartMs, 20),
                  now + BackendRegistration::MaxHeartbeatDelay + seconds(1), StartMs)
              == RegistrationChange::Replaced);
        CHECK(registration.current()->processStartMs == EarlierStartMs);
    }
}

TEST_CASE("a process without a start time that counts anew is registered once the earlier one is "
          "silent for long")
{
    BackendRegistration registration;
    const TimePoint now {};
    registration.heartbeatReceived(heartbeatOf("a", 0, 400), now, StartMs);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 0, 1), now + seconds(5), StartMs)
          == RegistrationChange::Outdated);
    CHECK(registration.heartbeatReceived(heartbeatOf("a", 0, 20),
                                         now + BackendRegistration::MaxHeartbeatDelay + seconds(1),
                                         StartMs)
          == RegistrationChange::Replaced);
}

TEST_CASE("heartbeats of an earlier process are ignored as long as the current one sends its own")
{
    BackendRegistration registration;
    const TimePoint now {};
    for (unsigned i = 0; i < 60; ++i) {
        registration.heartbeatReceived(heartbeatOf("a", StartMs, i + 1), now + seconds(i), StartMs);
    }
    CHECK(registration.heartbeatReceived(heartbeatOf("b", EarlierStartMs, 90), now + seconds(61),
                                         StartMs)
          == RegistrationChange::Outdated);
}
