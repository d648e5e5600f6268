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
        schedule.heardOfOthers(now);
    }

    StoreCall next(std::uint64_t position, bool asksOthers = false) const
    {
        return schedule.next(position, asksOthers, now);
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
        CHECK(bench.next(0) == StoreCall(Short));
        bench.schedule.newestTooLong(0, Short.maxBytes);
        CHECK(bench.next(0) == StoreCall(NoCall {}));
        bench.pass(StoreSchedule::SettleTime);
        CHECK(bench.next(0) == (reader ? StoreCall(Long) : StoreCall(NoCall {})));
        CHECK(bench.next(0, true) == StoreCall(NoCall {}));
    }
}

TEST_CASE("a daemon that nobody tells a long state reads it after a while")
{
    Bench bench(false);
    bench.schedule.newestTooLong(0, Short.maxBytes);
    bench.pass(StoreSchedule::Patience);
    CHECK(bench.next(0) == StoreCall(Long));
}

TEST_CASE("only readers follow the store, and a daemon that hears of nobody")
{
    Bench reader(true);
    reader.schedule.stateKnown();
    CHECK(reader.next(5) == StoreCall(ReadOn {}));
    Bench other(false);
    other.schedule.stateKnown();
    CHECK(other.next(5) == StoreCall(NoCall {}));
    other.now += StoreSchedule::IsolationTime + 1ms;
    CHECK(other.next(5) == StoreCall(ReadOn {}));
    other.pass(1ms);
    CHECK(other.next(5) == StoreCall(NoCall {}));
}

TEST_CASE("a row of long versions is skipped, a row of short ones is not")
{
    Bench bench(true);
    bench.schedule.stateKnown();
    bench.schedule.moreToRead(3, 3'000);
    CHECK(bench.next(5) == StoreCall(ReadOn {}));
    bench.schedule.moreToRead(1, 300'000);
    CHECK(bench.next(5) == StoreCall(Long));
    bench.schedule.stateKnown();
    bench.schedule.moreToRead(0, 16);
    CHECK(bench.next(5) == StoreCall(Long));
}

TEST_CASE(
    "after a failure a reader takes up where it was, and after forgotten history it starts anew")
{
    Bench bench(true);
    bench.schedule.stateKnown();
    bench.schedule.callFailed(CallFailure::Refused, 5, bench.now);
    CHECK(bench.next(5) == StoreCall(Short));
    bench.schedule.newestTooLong(5, Short.maxBytes);
    CHECK(bench.next(5) == StoreCall(ReadOn {}));
    bench.schedule.historyLost();
    CHECK(bench.next(5) == StoreCall(Long));
    Bench other(false);
    other.schedule.stateKnown();
    other.schedule.callFailed(CallFailure::Refused, 5, other.now);
    CHECK(other.next(5) == StoreCall(NoCall {}));
    other.schedule.callFailed(CallFailure::Refused, 0, other.now);
    CHECK(other.next(0) == StoreCall(Short));
}
