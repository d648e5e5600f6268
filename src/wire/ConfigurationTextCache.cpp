#include "wire/ConfigurationTextCache.h"

#include "wire/TextCompression.h"

#include <algorithm>

namespace Coltsfootwell {

void ConfigurationTextCache::add(ConfigurationVersion version, std::string_view key,
                                 std::string text)
{
    m_contentByBase.clear();
    m_entries.push_front({version, std::string(key), std::move(text)});
    std::size_t olderBytes = 0;
    for (std::size_t i = 1; i < m_entries.size(); ++i) {
        olderBytes += m_entries[i].text.size();
        if (i > MaxBaseVersions || olderBytes > MaxBaseBytes) {
            m_entries.resize(i);
        }
    }
}

void ConfigurationTextCache::reuseContent(const StateAnswer &answer)
{
    if (answer.version == newestVersion()) {
        m_contentByBase[answer.base] = answer.content;
    }
}

void ConfigurationTextCache::fillAnswer(StateAnswer &answer, ConfigurationVersion heldVersion)
{
    if (m_entries.empty()) {
        return;
    }
    const Entry &newest = m_entries.front();
    answer.version = newest.version;
    answer.key = newest.key;
    if (heldVersion == newest.version) {
        return;
    }
    const Entry *base = find(heldVersion);
    answer.base = base ? heldVersion : 0;
    std::string &content = m_contentByBase[answer.base];
    if (content.empty()) {
        content = compressText(newest.text, base ? std::string_view(base->text) : "");
    }
    answer.content = content;
}

std::optional<std::string> ConfigurationTextCache::decodeContent(const StateAnswer &answer) const
{
    const Entry *base = find(answer.base);
    if (answer.base != 0 && !base) {
        return std::nullopt;
    }
    return decompressText(answer.content, base ? std::string_view(base->text) : "", MaxTextBytes);
}

const ConfigurationTextCache::Entry *ConfigurationTextCache::find(
    ConfigurationVersion version) const
{
    const auto it = std::ranges::find(m_entries, version, &Entry::version);
    return it == m_entries.end() ? nullptr : &*it;
}

} // namespace Coltsfootwell
