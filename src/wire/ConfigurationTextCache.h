// Caches the texts of recent configuration versions, as operators published them, and encodes them
// for other daemons.
//
// A large configuration may change often while many daemons share one network link. Therefore only
// the difference from the version that a daemon already has is sent to it.
#pragma once

#include "wire/StateExchange.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Bounded cache of configuration texts that encodes and decodes the content of a
/// StateAnswer.
class ConfigurationTextCache
{
public:
    /// Maximum number of versions before the newest one that are kept as bases of differences. A
    /// daemon that is further behind is sent the whole text.
    static constexpr std::size_t MaxBaseVersions = 4;
    /// Maximum size in bytes of all kept texts before the newest one.
    static constexpr std::size_t MaxBaseBytes = 2ULL << 20;
    /// Maximum size in bytes of a text that is accepted from another daemon.
    static constexpr std::size_t MaxTextBytes = 32ULL << 20;

    /// \brief Adds the text of a version that is newer than all others.
    /// \param version configuration version.
    /// \param key key of the operators' record.
    /// \param text value of the record.
    void add(ConfigurationVersion version, std::string_view key, std::string text);

    /// \brief Reuses the compressed content of an answer of another daemon for this daemon's
    /// answers, so that it is not compressed again.
    /// \param answer ignored unless it carries the newest version.
    void reuseContent(const StateAnswer &answer);

    /// \brief Sets version, base, key and content of an answer.
    /// \param answer left unchanged if the cache is empty.
    /// \param heldVersion configuration version that the requester has; 0 for none.
    void fillAnswer(StateAnswer &answer, ConfigurationVersion heldVersion);

    /// \brief Decompresses the content of an answer.
    /// \param answer answer with a content.
    /// \return the text, or std::nullopt if the content is malformed or its base is not cached.
    std::optional<std::string> decodeContent(const StateAnswer &answer) const;

    /// \return newest cached version; 0 for none.
    ConfigurationVersion newestVersion() const
    {
        return m_entries.empty() ? 0 : m_entries.front().version;
    }

private:
    struct Entry
    {
        ConfigurationVersion version = 0;
        std::string key;
        std::string text;
    };

    const Entry *find(ConfigurationVersion version) const;

    /// Newest first.
    std::deque<Entry> m_entries;
    /// Compressed forms of the newest text, by the version of the base that they refer to.
    std::map<ConfigurationVersion, std::string> m_contentByBase;
};

} // namespace Coltsfootwell
