// Guards against a key table or stored answers that grow without bound, and against a repeat that
// runs again because its answer was dropped.
#include "decisions/KeyTable.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

constexpr TimePoint Start {};
constexpr TimePoint Later = Start + std::chrono::hours(24);

void runOnce(KeyTable &table, const std::string &key, std::size_t bytes)
{
    table.begin(key, {}, Later, Start);
    table.ended(key, Outcome::Run, Reason::AnswerNotHeld,
                StoredAnswer {200, {}, std::string(bytes, 'x'), "d"}, Start);
}

} // namespace

TEST_CASE("the oldest answers go first and their repeats are told that the call ran")
{
    KeyTable table;
    for (unsigned i = 0; i < 70; ++i) {
        runOnce(table, std::to_string(i), KeyTable::MaxAnswerBytes);
        CHECK(table.storedBytes() <= KeyTable::MaxStoredBytes);
    }
    const KeyDecision first = table.begin("0", {}, Later, Start);
    CHECK(first.outcome == Outcome::Run);
    CHECK(first.reason == Reason::AnswerNotHeld);
    CHECK(table.begin("69", {}, Later, Start).verdict == KeyVerdict::Replay);
}

TEST_CASE("an answer that is too long or too old is not held")
{
    KeyTable table;
    runOnce(table, "long", KeyTable::MaxAnswerBytes + 1);
    CHECK(table.begin("long", {}, Later, Start).reason == Reason::AnswerNotHeld);
    runOnce(table, "old", 10);
    table.expire(Start + KeyTable::AnswerLifetime);
    CHECK(table.begin("old", {}, Later, Start).reason == Reason::AnswerNotHeld);
    CHECK(table.storedBytes() == 0);
}

TEST_CASE("a full table takes no new keys and keeps the old ones")
{
    KeyTable table;
    for (std::size_t i = 0; i < KeyTable::MaxKeys; ++i) {
        table.begin(std::to_string(i), {}, Later, Start);
    }
    const KeyDecision more = table.begin("one more", {}, Later, Start);
    CHECK(more.outcome == Outcome::NotRun);
    CHECK(more.reason == Reason::Overloaded);
    CHECK(table.begin("0", {}, Later, Start).verdict == KeyVerdict::Wait);
}

TEST_CASE("a caller's key is accepted only while the log surely keeps its claim")
{
    using std::chrono::seconds;
    const seconds wall(1'000'000);
    const auto fresh = callerKeyExpiry(wall, wall, Start);
    REQUIRE(std::holds_alternative<TimePoint>(fresh));
    CHECK(std::get<TimePoint>(fresh) == Start + ClaimRetention - ClaimRetentionMargin);
    const seconds oldest = wall - (ClaimRetention - ClaimRetentionMargin);
    CHECK(std::get<Reason>(callerKeyExpiry(oldest, wall, Start)) == Reason::KeyExpired);
    CHECK(std::holds_alternative<TimePoint>(callerKeyExpiry(oldest + seconds(1), wall, Start)));
    CHECK(std::get<Reason>(callerKeyExpiry(wall + std::chrono::hours(1), wall, Start))
          == Reason::BadKey);
}
