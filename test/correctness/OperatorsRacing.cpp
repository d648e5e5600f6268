// Guards against two operators who both believe that their configuration was accepted.
#include "support/ConfigurationSamples.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("the first of two publishes with the same base is accepted, the other names the winner")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    const std::vector<ConfigurationEntry> entries {{0, samplePublish(0, "aisyah", 5)},
                                                   {1, samplePublish(0, "bento", 6)}};
    const auto outputs = fold.read({0, 2, entries}, TimePoint());
    CHECK(fold.version() == 1);
    CHECK(fold.state().configuration->services.at("bookings").slots == 5);
    const auto *rejected = firstOf<RecordRejected>(outputs);
    REQUIRE(rejected);
    CHECK(rejected->fault == RecordFault::Conflict);
    CHECK(rejected->id == "bento0");
    CHECK(rejected->text.find("aisyah") != std::string::npos);
}

TEST_CASE("a malformed record between two publishes changes nothing")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    const std::vector<ConfigurationEntry> entries {{0, samplePublish(0, "aisyah")},
                                                   {1, MalformedRecord {"not JSON"}},
                                                   {2, samplePublish(1, "aisyah")}};
    fold.read({0, 3, entries}, TimePoint());
    CHECK(fold.version() == 2);
}

TEST_CASE("a publish that breaks a rule is skipped")
{
    SeededRandom random(1);
    ConfigurationFold fold({}, random, TimePoint());
    PublishRecord publish = samplePublish(0, "aisyah");
    auto broken = sampleConfiguration(1);
    broken->routes.front().service = "unknown";
    publish.configuration = broken;
    const std::vector<ConfigurationEntry> entries {{0, publish}};
    const auto outputs = fold.read({0, 1, entries}, TimePoint());
    CHECK(fold.version() == 0);
    REQUIRE(firstOf<RecordRejected>(outputs));
    CHECK(firstOf<RecordRejected>(outputs)->fault == RecordFault::RuleBroken);
}
