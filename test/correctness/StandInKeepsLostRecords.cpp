// Guards against a stand-in store that still has, after its return from a copy, what was appended
// since, or that continues its offsets. Tests of such a return would pass without one.
#include "standin/StoreModel.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell::Standin;

namespace {

const std::string TopicName = "t";

std::string recordBytes(const std::string &key, const std::string &value)
{
    const std::string content = static_cast<char>(key.size()) + key + value;
    return std::string("\0\0\0", 3) + static_cast<char>(content.size()) + content;
}

std::string newestValue(StoreModel &model, const std::string &key)
{
    const Topic &topic = model.topic(TopicName);
    const auto it = topic.newestOffsets.find(key);
    return it == topic.newestOffsets.end()
        ? ""
        : std::string(StoreModel::valueOf(topic.records[it->second]));
}

} // namespace

TEST_CASE("a store that returns from a copy has lost what was appended since")
{
    StoreModel model;
    REQUIRE(model.append(TopicName, recordBytes("a", "1")));
    REQUIRE(model.append(TopicName, recordBytes("b", "1")));
    model.takeCopy();
    REQUIRE(model.append(TopicName, recordBytes("a", "2")));
    REQUIRE(model.append(TopicName, recordBytes("b", "")));
    REQUIRE(model.append("later", recordBytes("c", "1")));
    model.discardHistory();

    REQUIRE(model.restoreCopy());
    CHECK(model.epoch() == 2);
    CHECK(newestValue(model, "a") == "1");
    CHECK(newestValue(model, "b") == "1");
    CHECK(model.topic("later").end() == 0);
    CHECK(model.topic(TopicName).canReadFrom(0));
    CHECK(model.topic(TopicName).canReadFrom(2));
    CHECK_FALSE(model.topic(TopicName).canReadFrom(3));
}

TEST_CASE("the offsets of lost records are given out again")
{
    StoreModel model;
    model.takeCopy();
    REQUIRE(model.append(TopicName, recordBytes("a", "lost")));
    REQUIRE(model.restoreCopy());
    REQUIRE(model.append(TopicName, recordBytes("a", "again")));
    CHECK(model.topic(TopicName).newestOffsets.at("a") == 0);
    CHECK(newestValue(model, "a") == "again");
}

TEST_CASE("a copy stays until the next one, and each return starts an epoch")
{
    StoreModel model;
    CHECK_FALSE(model.restoreCopy());
    CHECK(model.epoch() == 1);
    model.takeCopy();
    REQUIRE(model.append(TopicName, recordBytes("a", "1")));
    REQUIRE(model.restoreCopy());
    REQUIRE(model.append(TopicName, recordBytes("a", "2")));
    REQUIRE(model.restoreCopy());
    CHECK(model.topic(TopicName).end() == 0);
    CHECK(model.epoch() == 3);

    REQUIRE(model.append(TopicName, recordBytes("a", "3")));
    model.takeCopy();
    REQUIRE(model.restoreCopy());
    CHECK(newestValue(model, "a") == "3");
}
