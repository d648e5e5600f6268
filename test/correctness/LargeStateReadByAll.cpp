// Guards against daemons that all read a long state over the link that they share, and against a
// daemon that reads it too late or never although nobody else tells it.
#include "decisions/StoreReaders.h"
#include "decisions/StoreSchedule.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AnyLength = 1 << 30;
constexpr ReadNewest Short {StoreSchedule::ShortAnswerBytes};
constexpr ReadNewest Long {AnyLength};
constexpr std::size_t Daemons = 10;

/// A daemon among others of its data centre.
struct Bench
{
    explicit Bench(bool reader) : schedule(nameOf(reader), AnyLength)
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
    void pass(Duration time)
    {
        now += time;
        schedule.peerReported(now);
    }

    StoreCall nextCall(std::uint64_t position, bool asksOthers = false) const
    {
        return schedule.nextCall(position, asksOthers, now);
    }

    TimePoint now {1h};
    StoreSchedule schedule;
};

} // namespace

TEST_CASE("after the start everyone reads a short state, and readers a long one")
{
    for (const bool reader : {true, false}) {
        CAPTURE(reader);
        Bench bench(reader);
        CHECK(bench.nextCall(0) == StoreCall(Short));
        bench.schedule.newestTooLarge(0, Short.maxBytes);
        CHECK(bench.nextCall(0) == StoreCall(NoCall {}));
        bench.pass(StoreSchedule::SettleTime);
        CHECK(bench.nextCall(0) == (reader ? StoreCall(Long) : StoreCall(NoCall {})));
        CHECK(bench.nextCall(0, true) == StoreCall(NoCall {}));
    }
}

TEST_CASE("a daemon that nobody tells a long state reads it after a while")
{
    Bench bench(false);
    bench.schedule.newestTooLarge(0, Short.maxBytes);
    bench.pass(StoreSchedule::Patience);
    CHECK(bench.nextCall(0) == StoreCall(Long));
}

TEST_CASE("only readers follow the store, and a daemon that hears of nobody")
{
    Bench reader(true);
    reader.schedule.stateReceived();
    CHECK(reader.nextCall(5) == StoreCall(ReadFromPosition {}));
    Bench other(false);
    other.schedule.stateReceived();
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
    other.now += StoreSchedule::IsolationTime + 1ms;
    CHECK(other.nextCall(5) == StoreCall(ReadFromPosition {}));
    other.pass(1ms);
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
}

TEST_CASE("a row of long versions is skipped, a row of short ones is not")
{
    Bench bench(true);
    bench.schedule.stateReceived();
    bench.schedule.moreRecordsAvailable(3, 3'000);
    CHECK(bench.nextCall(5) == StoreCall(ReadFromPosition {}));
    bench.schedule.moreRecordsAvailable(1, 300'000);
    CHECK(bench.nextCall(5) == StoreCall(Long));
    bench.schedule.stateReceived();
    bench.schedule.moreRecordsAvailable(0, 16);
    CHECK(bench.nextCall(5) == StoreCall(Long));
}

TEST_CASE(
    "after a failure a reader takes up where it was, and after forgotten history it starts anew")
{
    Bench bench(true);
    bench.schedule.stateReceived();
    bench.schedule.callFailed(StoreCallFailure::Refused, 5, bench.now);
    CHECK(bench.nextCall(5) == StoreCall(Short));
    bench.schedule.newestTooLarge(5, Short.maxBytes);
    CHECK(bench.nextCall(5) == StoreCall(ReadFromPosition {}));
    bench.schedule.historyLost();
    CHECK(bench.nextCall(5) == StoreCall(Long));
    Bench other(false);
    other.schedule.stateReceived();
    other.schedule.callFailed(StoreCallFailure::Refused, 5, other.now);
    CHECK(other.nextCall(5) == StoreCall(NoCall {}));
    other.schedule.callFailed(StoreCallFailure::Refused, 0, other.now);
    CHECK(other.nextCall(0) == StoreCall(Short));
}
