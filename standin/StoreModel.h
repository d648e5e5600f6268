// Topics of the stand-in store, without sockets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell::Standin {

/// \brief One topic with one partition.
struct Topic
{
    /// Contents of records: length of the key, key, value.
    std::vector<std::string> records;
    /// Offset of the first record that is still held.
    std::uint64_t first = 0;
    /// Offset of the newest record of each key that has a value.
    std::map<std::string, std::uint64_t> newest;

    std::uint64_t end() const { return records.size(); }
};

/// \brief All topics. The newest record of each key is kept for ever.
class StoreModel
{
public:
    /// \param body raw records, each with its length in front.
    /// \return false when the body is malformed; nothing is appended then.
    bool append(const std::string &topic, std::string_view body);

    /// \brief Drops the history of all topics, but not the newest records.
    void forgetHistory();

    Topic &topic(const std::string &name) { return m_topics[name]; }

    /// \param content of a record.
    static std::string keyOf(std::string_view content);

    /// \param content of a record.
    static std::string_view valueOf(std::string_view content);

private:
    std::map<std::string, Topic> m_topics;
};

} // namespace Coltsfootwell::Standin
