// Topics of the stand-in store, independent of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell::Standin {

/// \brief Compacted topic with one partition.
struct Topic
{
    /// Contents of all records since the creation of the topic, in the order of their offsets. Each
    /// consists of the length of the key (one byte), the key and the value; an empty value deletes
    /// the key.
    std::vector<std::string> records;
    /// Offset of the first record that can be read from the history.
    std::uint64_t firstOffset = 0;
    /// Offset of the newest record of each key that is not deleted.
    std::map<std::string, std::uint64_t> newestOffsets;

    /// \return offset of the next record to be appended.
    std::uint64_t end() const { return records.size(); }

    /// \return true if the history can be read from the offset on; it may be the end.
    bool canReadFrom(std::uint64_t offset) const
    {
        return firstOffset <= offset && offset <= end();
    }
};

/// \brief All topics of the store. The newest record of each key is never discarded, except when
/// the store comes back from a copy.
class StoreModel
{
public:
    /// \brief Appends records to a topic.
    /// \param topic name of the topic; a missing topic is created.
    /// \param body contents of the records, each prefixed with its length as a 32-bit big-endian
    /// number.
    /// \return false if the body is malformed; no record is appended in this case.
    bool append(const std::string &topic, std::string_view body);

    /// \brief Makes all present records of all topics unreadable as history. The newest record of
    /// each key stays available.
    void discardHistory();

    /// \brief Makes the records of a topic before an offset unreadable as history. The newest
    /// record of each key stays available.
    void trim(const std::string &topic, std::uint64_t before);

    /// \brief Takes a copy of all topics, in place of an earlier one.
    void takeCopy() { m_copy = m_topics; }

    /// \brief Replaces all topics with those of the copy, which is kept, and starts a new epoch.
    /// The offsets of the records that were appended since are given out again. \return false if no
    /// copy was taken; nothing changes in this case.
    bool restoreCopy();

    /// \return number of the epoch, from 1 on.
    std::uint64_t epoch() const { return m_epoch; }

    /// \return the topic, which is created if it is missing.
    Topic &topic(const std::string &name) { return m_topics[name]; }

    /// \return the key in the content of a record.
    static std::string keyOf(std::string_view content);

    /// \return the value in the content of a record; empty if the record deletes its key.
    static std::string_view valueOf(std::string_view content);

private:
    std::map<std::string, Topic> m_topics;
    std::optional<std::map<std::string, Topic>> m_copy;
    std::uint64_t m_epoch = 1;
};

} // namespace Coltsfootwell::Standin
