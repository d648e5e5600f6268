#include "wire/ConfigurationTextCache.h"

#include "wire/TextCompression.h"

#include <algorithm>

namespace Coltsfootwell {

void ConfigurationTextCache::add(ConfigurationVersion version, std::string_view key,
                                 std::string text)
{
    m_contents.clear();
    m_texts.push_front({version, std::string(key), std::move(text)});
    std::size_t before = 0;
    for (std::size_t i = 1; i < m_texts.size(); ++i) {
        before += m_texts[i].text.size();
        if (i > MaxBaseVersions || before > MaxBaseBytes) {
            m_texts.resize(i);
        }
    }
}

void ConfigurationTextCache::reuseContent(const StateAnswer &answer)
{
    if (answer.version == newestVersion()) {
        m_contents[answer.base] = answer.content;
    }
}

void ConfigurationTextCache::fillAnswer(StateAnswer &answer, ConfigurationVersion held)
{
    if (m_texts.empty()) {
        return;
    }
    const Text &newest = m_texts.front();
    answer.version = newest.version;
    answer.key = newest.key;
    if (held == newest.version) {
        return;
    }
    const Text *base = find(held);
    answer.base = base ? held : 0;
    std::string &content = m_contents[answer.base];
    if (content.empty()) {
        content = compressText(newest.text, base ? std::string_view(base->text) : "");
    }
    answer.content = content;
}

std::optional<std::string> ConfigurationTextCache::decodeContent(const StateAnswer &answer) const
{
    const Text *base = find(answer.base);
    if (answer.base != 0 && !base) {
        return std::nullopt;
    }
    return decompressText(answer.content, base ? std::string_view(base->text) : "", MaxTextBytes);
}

const ConfigurationTextCache::Text *ConfigurationTextCache::find(ConfigurationVersion version) const
{
    const auto it = std::ranges::find(m_texts, version, &Text::version);
    return it == m_texts.end() ? nullptr : &*it;
}

} // namespace Coltsfootwell
