// Guards against a stand-in backend server that bears more than it says, which would let every
// test of overload and cold start pass.
#include "standin/BackendModel.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Standin;
using namespace std::chrono_literals;

namespace {

BackendOptions options(unsigned warmAfter)
{
    BackendOptions result;
    result.slots = 3;
    result.coldSlots = 1;
    result.coldFactor = 4;
    result.warmAfter = warmAfter;
    return result;
}

} // namespace

TEST_CASE("calls above the slots are shed")
{
    BackendModel model(options(0));
    const TimePoint now {};
    for (int i = 0; i < 3; ++i) {
        CHECK(model.admit(now) == AdmissionVerdict::Admit);
    }
    CHECK(model.admit(now) == AdmissionVerdict::Shed);
    model.release(true, now);
    CHECK(model.admit(now) == AdmissionVerdict::Admit);
}

TEST_CASE("a cold server is slow, falls over under too much and warms up with answers")
{
    BackendModel model(options(2));
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

TEST_CASE("the load report lags and lies on demand")
{
    BackendModel model(options(0));
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
