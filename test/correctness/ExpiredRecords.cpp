// Guards against accepting a losing publish after the record of its winner has expired, and against
// a late checkpoint that takes the configuration back.
#include "support/ConfigurationSamples.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

/// Version 1 at offset 0, two rivals for version 2 at offsets 1 and 2.
const std::vector<ConfigurationEntry> &history()
{
    static const std::vector<ConfigurationEntry> entries {{0, samplePublish(0, "aisyah")},
                                                          {1, samplePublish(1, "winner", 5)},
                                                          {2, samplePublish(1, "loser", 6)}};
    return entries;
}

} // namespace

TEST_CASE("a publish after a gap is not accepted, also when its base is in force")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    fold.read({0, 1, std::span(history()).first(1)}, TimePoint());
    fold.read({2, 3, std::span(history()).subspan(2)}, TimePoint());
    CHECK(fold.version() == 1);
    CHECK_FALSE(fold.isExact());
    fold.learn({2, 2, sampleConfiguration(2, 5)});
    CHECK(fold.isExact());
    CHECK(fold.state().configuration->services.at("bookings").slots == 5);
}

TEST_CASE("a checkpoint that covers the gap makes the records after it count again")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    std::vector<ConfigurationEntry> entries {
        {2, samplePublish(1, "loser", 6)},
        {3, samplePublish(2, "next", 7)},
        {4, CheckpointRecord {{2, 3, sampleConfiguration(2, 5)}, false, {}, {}}}};
    const auto outputs = fold.read({2, 5, entries}, TimePoint());
    REQUIRE(firstOf<ReadFrom>(outputs));
    CHECK(firstOf<ReadFrom>(outputs)->offset == 3);
    fold.read({2, 5, std::span(entries).subspan(1)}, TimePoint());
    CHECK(fold.version() == 3);
    CHECK(fold.isExact());
}

TEST_CASE("a late checkpoint of an older version changes nothing")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    fold.read({0, 3, history()}, TimePoint());
    const std::vector<ConfigurationEntry> late {
        {3, CheckpointRecord {{1, 1, sampleConfiguration(1)}, false, {}, {}}}};
    fold.read({0, 4, late}, TimePoint());
    CHECK(fold.version() == 2);
    fold.learn({1, 9, sampleConfiguration(1)});
    CHECK(fold.version() == 2);
}

TEST_CASE("a log that has lost its records gets the version in force written back")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    fold.read({0, 3, history()}, TimePoint());
    fold.read({0, 0, {}}, TimePoint());
    CHECK(fold.version() == 2);
    CHECK_FALSE(fold.isExact());
    const auto outputs = fold.tick(TimePoint());
    REQUIRE(firstOf<AppendCheckpoint>(outputs));
    const CheckpointRecord recovery = firstOf<AppendCheckpoint>(outputs)->checkpoint;
    CHECK(recovery.reset);
    const std::vector<ConfigurationEntry> entries {{0, recovery}, {1, samplePublish(2, "next")}};
    fold.read({0, 2, entries}, TimePoint());
    CHECK(fold.version() == 3);
    ConfigurationFold newcomer({}, random, TimePoint());
    newcomer.read({0, 2, entries}, TimePoint());
    CHECK(newcomer.version() == 3);
}

TEST_CASE("a checkpoint is due a third of the retention after the last one")
{
    SeededRandom random(1);
    const LogRetention retention {std::chrono::hours(3), 0};
    ConfigurationFold fold(retention, random, TimePoint());
    fold.read({0, 3, history()}, TimePoint());
    const TimePoint hour = TimePoint() + std::chrono::hours(1);
    CHECK(firstOf<AppendCheckpoint>(fold.tick(hour)));
    CHECK_FALSE(firstOf<AppendCheckpoint>(fold.tick(hour + std::chrono::minutes(44))));
    CHECK(firstOf<AppendCheckpoint>(fold.tick(hour + std::chrono::minutes(61))));
}
