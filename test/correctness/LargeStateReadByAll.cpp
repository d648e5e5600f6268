// Guards against all daemons reading a large state over a shared link, and against a daemon that
// does not get it from a peer and reads it too late or never.
#include "decisions/StoreReaders.h"
#include "decisions/StoreSchedule.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t UnlimitedBytes = 1 << 30;
constexpr ReadNewest ReadSmall {StoreSchedule::MaxSmallAnswerBytes};
constexpr ReadNewest ReadLarge {UnlimitedBytes};
constexpr std::size_t Daemons = 10;

/// The schedule of a daemon in a data centre with several daemons.
struct ScheduleFixture
{
    explicit ScheduleFixture(bool isReader) : schedule(nameOf(isReader), UnlimitedBytes)
    {
        schedule.started(now);
        schedule.membersChanged(members());
    }

    static std::vector<Member> members()
    {
        std::vector<Member> all(Daemons);
        for (std::size_t i = 0; i < Daemons; ++i) {
            all[i].id = {"daemon-" + std::to_string(i), 1};
        }
        return all;
    }

    static std::string nameOf(bool isReader)
    {
        const auto all = members();
        for (const Member &member : all) {
            if (isStoreReader(member.id.name, all) == isReader) {
                return member.id.name;
            }
        }
        return "";
    }

    /// Advances the clock; peers report their positions.
    void advance(Duration time)
    {
        now += time;
        schedule.peerReported(now);
    }

    StoreCall nextCall(bool hasState, bool isFetchingFromPeer = false) const
    {
        return schedule.nextCall(hasState, isFetchingFromPeer, now);
    }

    TimePoint now {1h};
    StoreSchedule schedule;
};

} // namespace

TEST_CASE("after the start all daemons read a small state, and only readers a large one")
{
    for (const bool isReader : {true, false}) {
        CAPTURE(isReader);
        ScheduleFixture fixture(isReader);
        CHECK(fixture.nextCall(false) == StoreCall(ReadSmall));
        fixture.schedule.newestTooLarge(false, ReadSmall.maxBytes);
        CHECK(fixture.nextCall(false) == StoreCall(NoCall {}));
        fixture.advance(StoreSchedule::MembershipSettleTime);
        CHECK(fixture.nextCall(false) == (isReader ? StoreCall(ReadLarge) : StoreCall(NoCall {})));
        CHECK(fixture.nextCall(false, true) == StoreCall(NoCall {}));
    }
}

TEST_CASE("a daemon that gets no state from a peer reads a large one after the fallback delay")
{
    ScheduleFixture fixture(false);
    fixture.schedule.newestTooLarge(false, ReadSmall.maxBytes);
    fixture.advance(StoreSchedule::FallbackReadDelay);
    CHECK(fixture.nextCall(false) == StoreCall(ReadLarge));
}

TEST_CASE("only readers and isolated daemons long-poll the store")
{
    ScheduleFixture reader(true);
    reader.schedule.stateReceived();
    CHECK(reader.nextCall(true) == StoreCall(ReadFromPosition {}));
    ScheduleFixture other(false);
    other.schedule.stateReceived();
    CHECK(other.nextCall(true) == StoreCall(NoCall {}));
    other.now += StoreSchedule::IsolationTimeout + 1ms;
    CHECK(other.nextCall(true) == StoreCall(ReadFromPosition {}));
    other.advance(1ms);
    CHECK(other.nextCall(true) == StoreCall(NoCall {}));
}

TEST_CASE("intermediate large versions are skipped, small ones are not")
{
    ScheduleFixture fixture(true);
    fixture.schedule.stateReceived();
    fixture.schedule.moreRecordsAvailable(3, 3'000);
    CHECK(fixture.nextCall(true) == StoreCall(ReadFromPosition {}));
    fixture.schedule.moreRecordsAvailable(1, 300'000);
    CHECK(fixture.nextCall(true) == StoreCall(ReadLarge));
    fixture.schedule.stateReceived();
    fixture.schedule.moreRecordsAvailable(0, 16);
    CHECK(fixture.nextCall(true) == StoreCall(ReadLarge));
}

TEST_CASE(
    "a reader resumes at its position after a failure, and reads all state after lost history")
{
    ScheduleFixture fixture(true);
    fixture.schedule.stateReceived();
    fixture.schedule.callFailed(StoreCallFailure::Refused, true, fixture.now);
    CHECK(fixture.nextCall(true) == StoreCall(ReadSmall));
    fixture.schedule.newestTooLarge(true, ReadSmall.maxBytes);
    CHECK(fixture.nextCall(true) == StoreCall(ReadFromPosition {}));
    fixture.schedule.historyLost();
    CHECK(fixture.nextCall(true) == StoreCall(ReadLarge));
    ScheduleFixture other(false);
    other.schedule.stateReceived();
    other.schedule.callFailed(StoreCallFailure::Refused, true, other.now);
    CHECK(other.nextCall(true) == StoreCall(NoCall {}));
    other.schedule.callFailed(StoreCallFailure::Refused, false, other.now);
    CHECK(other.nextCall(false) == StoreCall(ReadSmall));
}
