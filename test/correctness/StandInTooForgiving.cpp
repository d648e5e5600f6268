// Guards against a stand-in backend server that accepts more calls than its slots and its cold
// limit allow. Every test of overload and cold start would pass with such a server.
#include "standin/BackendModel.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Standin;
using namespace std::chrono_literals;

namespace {

BackendOptions backendOptions(unsigned warmAfter)
{
    BackendOptions result;
    result.slots = 3;
    result.coldSlots = 1;
    result.coldFactor = 4;
    result.warmAfter = warmAfter;
    return result;
}

} // namespace

TEST_CASE("calls that exceed the number of slots are shed")
{
    BackendModel model(backendOptions(0));
    const TimePoint now {};
    for (int i = 0; i < 3; ++i) {
        CHECK(model.admit(now) == AdmissionVerdict::Admit);
    }
    CHECK(model.admit(now) == AdmissionVerdict::Shed);
    model.release(true, now);
    CHECK(model.admit(now) == AdmissionVerdict::Admit);
}

TEST_CASE("a cold server is slow, crashes when its limit is exceeded, and warms up with answers")
{
    BackendModel model(backendOptions(2));
    SeededRandom random(1);
    TimePoint now {};
    CHECK(model.serviceTime(random) == 8ms);
    CHECK(model.admit(now) == AdmissionVerdict::Admit);
    CHECK(model.admit(now) == AdmissionVerdict::Crash);
    model.release(false, now);
    CHECK(model.admit(now + 1999ms) == AdmissionVerdict::Crash);
    now += 2s;
    CHECK(model.state(now) == ServerState::Cold);
    for (int i = 0; i < 2; ++i) {
        CHECK(model.admit(now) == AdmissionVerdict::Admit);
        model.release(true, now);
    }
    CHECK(model.state(now) == ServerState::Ready);
    CHECK(model.serviceTime(random) == 2ms);
    model.becomeCold();
    CHECK(model.state(now) == ServerState::Cold);
}

TEST_CASE("faults can delay the load report and override its number of slots in use")
{
    BackendModel model(backendOptions(0));
    const TimePoint start {};
    model.admit(start);
    model.admit(start + 100ms);
    CHECK(model.reportedInUse(start + 200ms) == 2);
    model.faults.loadReportDelay = 150ms;
    CHECK(model.reportedInUse(start + 200ms) == 1);
    CHECK(model.reportedInUse(start + 250ms) == 2);
    model.faults.claimedInUse = 77;
    CHECK(model.reportedInUse(start + 250ms) == 77);
}
