// An append-only log in memory, with offsets and limited retention: the core of the stand-in log
// service and of the log that a daemon embeds.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief One record of a stream.
struct LogRecord
{
    std::uint64_t offset = 0;
    /// Chosen by the sender.
    std::string id;
    std::string content;
};

/// \brief Part of a stream.
struct LogPart
{
    /// Offset of the oldest record that is kept.
    std::uint64_t first = 0;
    /// Offset that the next appended record gets.
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

/// \brief Streams of records with consecutive offsets from 0.
class MemoryLog
{
public:
    /// \param retention records that are older are dropped.
    /// \param maxRecords oldest records of a longer stream are dropped; 0 for no limit.
    MemoryLog(Duration retention, std::size_t maxRecords);

    /// \return the offset of the new record.
    std::uint64_t append(std::string_view stream, std::string id, std::string content,
                         TimePoint now);

    /// \param stream name; unknown streams are empty.
    /// \param from offset of the first record wanted.
    /// \param max most records to return.
    LogPart read(std::string_view stream, std::uint64_t from, std::size_t max, TimePoint now);

private:
    struct Kept
    {
        LogRecord record;
        TimePoint appended;
    };

    struct Stream
    {
        std::uint64_t next = 0;
        std::deque<Kept> records;
    };

    void expire(Stream &stream, TimePoint now) const;

    Duration m_retention;
    std::size_t m_maxRecords;
    std::map<std::string, Stream, std::less<>> m_streams;
};

} // namespace Coltsfootwell
