// Texts of the last versions of the configuration, as operators have published them, and how they
// are handed on to other daemons.
//
// Answers the load pattern of a large configuration that changes often while many daemons stand
// behind one link: only what differs from the asker's version travels.
#pragma once

#include "wire/StateExchange.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Keeps texts and makes the contents of answers from them.
class ConfigurationTextCache
{
public:
    /// Versions that a daemon may be behind and still get a difference only.
    static constexpr std::size_t MaxBaseVersions = 4;
    /// Bounds the memory of the versions before the newest one.
    static constexpr std::size_t MaxBaseBytes = 2ULL << 20;
    /// Longest text that is taken from another daemon.
    static constexpr std::size_t MaxTextBytes = 32ULL << 20;

    /// \brief A newer version came into force.
    /// \param key of the operators' record.
    /// \param text of the record.
    void add(ConfigurationVersion version, std::string_view key, std::string text);

    /// \brief The newest text came in an answer, whose content is handed on as it is.
    void reuseContent(const StateAnswer &answer);

    /// \brief Fills in version, base, key and content.
    /// \param held version of the asker; 0 for none.
    void fillAnswer(StateAnswer &answer, ConfigurationVersion held);

    /// \param answer with a content.
    /// \return the text, or nothing when the content is malformed or its base is not held.
    std::optional<std::string> decodeContent(const StateAnswer &answer) const;

    /// \return newest version that can be handed on; 0 for none.
    ConfigurationVersion newestVersion() const
    {
        return m_texts.empty() ? 0 : m_texts.front().version;
    }

private:
    struct Text
    {
        ConfigurationVersion version = 0;
        std::string key;
        std::string text;
    };

    const Text *find(ConfigurationVersion version) const;

    /// Newest first.
    std::deque<Text> m_texts;
    /// Compressed forms of the newest text by the version that they build on.
    std::map<ConfigurationVersion, std::string> m_contents;
};

} // namespace Coltsfootwell
