// Guards against a configuration that a daemon takes from another one although it is older, cut
// short, changed on the way or made for a daemon that holds another version.
#include "kernel/Random.h"
#include "wire/ConfigurationTextCache.h"
#include "wire/TextCompression.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

constexpr std::string_view Key = "config";
constexpr std::size_t MaxBytes = 1 << 20;

/// Text of a version, of which little differs from that of another one.
std::string textOf(ConfigurationVersion version)
{
    constexpr std::uint64_t Seed = 1;
    SeededRandom random(Seed);
    std::string text = "version " + std::to_string(version);
    for (unsigned i = 0; i < 10'000; ++i) {
        text += " route-" + std::to_string(random.below(1'000'000));
    }
    return text;
}

StateAnswer answerOf(ConfigurationTextCache &texts, ConfigurationVersion held)
{
    StateAnswer answer;
    answer.position = 1;
    texts.fillAnswer(answer, held);
    return answer;
}

} // namespace

TEST_CASE("a daemon that is a few versions behind gets what differs")
{
    ConfigurationTextCache texts;
    for (ConfigurationVersion version = 1; version <= 8; ++version) {
        texts.add(version, Key, textOf(version));
    }
    for (ConfigurationVersion held = 4; held < 8; ++held) {
        ConfigurationTextCache asker;
        asker.add(held, Key, textOf(held));
        const StateAnswer answer = answerOf(texts, held);
        CHECK(answer.base == held);
        CHECK(answer.content.size() < 200);
        CHECK(asker.decodeContent(answer) == textOf(8));
    }
    const StateAnswer whole = answerOf(texts, 2);
    CHECK(whole.base == 0);
    CHECK(ConfigurationTextCache().decodeContent(whole) == textOf(8));
    CHECK(answerOf(texts, 8).content.empty());
}

TEST_CASE("a content that builds on another text is refused")
{
    ConfigurationTextCache texts;
    texts.add(1, Key, textOf(1));
    texts.add(2, Key, textOf(2));
    const StateAnswer answer = answerOf(texts, 1);
    CHECK_FALSE(ConfigurationTextCache().decodeContent(answer));
    ConfigurationTextCache other;
    const std::string text = textOf(1);
    other.add(1, Key, std::string(text.rbegin(), text.rend()));
    CHECK_FALSE(other.decodeContent(answer));
}

TEST_CASE("a content that was cut short or changed is refused")
{
    const std::string bytes = compressText(textOf(1), "");
    REQUIRE(decompressText(bytes, "", MaxBytes) == textOf(1));
    for (std::size_t n = 0; n < bytes.size(); n += 97) {
        CHECK_FALSE(decompressText(bytes.substr(0, n), "", MaxBytes));
        std::string changed = bytes;
        changed[n] = static_cast<char>(changed[n] ^ 0x55);
        const auto text = decompressText(changed, "", MaxBytes);
        CHECK((!text || *text == textOf(1)));
    }
}

TEST_CASE("a content that says it is longer than a configuration can be takes no memory")
{
    const std::string bytes = compressText(textOf(1), "");
    CHECK_FALSE(decompressText(bytes, "", 1000));
}

TEST_CASE("an answer is handed on as it came")
{
    ConfigurationTextCache sender;
    sender.add(1, Key, textOf(1));
    sender.add(2, Key, textOf(2));
    ConfigurationTextCache middle;
    middle.add(1, Key, textOf(1));
    const StateAnswer answer = answerOf(sender, 1);
    middle.add(2, Key, *middle.decodeContent(answer));
    middle.reuseContent(answer);
    CHECK(answerOf(middle, 1) == answer);
    CHECK(ConfigurationTextCache().decodeContent(answerOf(middle, 0)) == textOf(2));
}
