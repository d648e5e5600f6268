// Guards against daemons that all read a long state over the link that they share, and against a
// daemon that reads it too late or never although nobody else tells it.
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

/// A daemon among others of its data centre.
struct ScheduleFixture
{
    explicit ScheduleFixture(bool reader) : schedule(nameOf(reader), UnlimitedBytes)
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

    static std::string nameOf(bool reader)
    {
        const auto all = members();
        for (const Member &member : all) {
            if (isStoreReader(member.id.name, all) == reader) {
                return member.id.name;
            }
        }
        return "";
    }

    /// Time passes, and other daemons are heard.
    void advance(Duration time)
    {
        now += time;
        schedule.peerReported(now);
    }

    StoreCall nextCall(std::uint64_t position, bool isFetchingFromPeer = false) const
    {
        return schedule.nextCall(position, isFetchingFromPeer, now);
    }

    TimePoint now {1h};
    StoreSchedule schedule;
};

} // namespace

TEST_CASE("after the start everyone reads a short state, and readers a long one")
{
    for (const bool reader : {true, false}) {
        CAPTURE(reader);
        ScheduleFixture fixture(reader);
        CHECK(fixture.nextCall(0) == StoreCall(ReadSmall));
        fixture.schedule.newestTooLarge(0, ReadSmall.maxBytes);
        CHECK(fixture.nextCall(0) == StoreCall(NoCall {}));
        fixture.advance(StoreSchedule::MembershipSettleTime);
        CHECK(fixture.nextCall(0) == (reader ? StoreCall(ReadLarge) : StoreCall(NoCall {})));
        CHECK(fixture.nextCall(0, true) == StoreCall(NoCall {}));
    }
}

TEST_CASE("a daemon that nobody tells a long state reads it after a while")
{
    ScheduleFixture fixture(false);
    fixture.schedule.newestTooLarge(0, ReadSmall.maxBytes);
    fixture.advance(StoreSchedule::FallbackReadDelay);
    CHECK(fixture.nextCall(0) == StoreCall(ReadLarge));
}

TEST_CASE("only readers follow the store, and a daemon that hears of nobody")
{
    ScheduleFixture reader(true);
    reader.schedule.stateReceived();
    CHECK(reader.nextCall(5) == StoreCall(ReadFromPosition {}));
    ScheduleFixture other(false);
    other.schedule.stateReceived();
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
    other.now += StoreSchedule::IsolationTimeout + 1ms;
    CHECK(other.nextCall(5) == StoreCall(ReadFromPosition {}));
    other.advance(1ms);
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
}

TEST_CASE("a row of long versions is skipped, a row of short ones is not")
{
    ScheduleFixture fixture(true);
    fixture.schedule.stateReceived();
    fixture.schedule.moreRecordsAvailable(3, 3'000);
    CHECK(fixture.nextCall(5) == StoreCall(ReadFromPosition {}));
    fixture.schedule.moreRecordsAvailable(1, 300'000);
    CHECK(fixture.nextCall(5) == StoreCall(ReadLarge));
    fixture.schedule.stateReceived();
    fixture.schedule.moreRecordsAvailable(0, 16);
    CHECK(fixture.nextCall(5) == StoreCall(ReadLarge));
}

TEST_CASE(
    "after a failure a reader takes up where it was, and after forgotten history it starts anew")
{
    ScheduleFixture fixture(true);
    fixture.schedule.stateReceived();
    fixture.schedule.callFailed(StoreCallFailure::Refused, 5, fixture.now);
    CHECK(fixture.nextCall(5) == StoreCall(ReadSmall));
    fixture.schedule.newestTooLarge(5, ReadSmall.maxBytes);
    CHECK(fixture.nextCall(5) == StoreCall(ReadFromPosition {}));
    fixture.schedule.historyLost();
    CHECK(fixture.nextCall(5) == StoreCall(ReadLarge));
    ScheduleFixture other(false);
    other.schedule.stateReceived();
    other.schedule.callFailed(StoreCallFailure::Refused, 5, other.now);
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
    other.schedule.callFailed(StoreCallFailure::Refused, 0, other.now);
    CHECK(other.nextCall(0) == StoreCall(ReadSmall));
}
