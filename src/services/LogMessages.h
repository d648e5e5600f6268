// Messages of the service "log", which reaches the platform's log for other services.
#pragma once

#include "kernel/Mailbox.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief Answer to AppendRecord. Not appended, or no answer at all, leaves open whether the record
/// is in the log.
struct RecordAppended
{
    bool appended = false;
    std::uint64_t offset = 0;
};

/// \brief Adds one record to the end of a stream.
struct AppendRecord
{
    std::string stream;
    /// Unique, so that the record can be found again.
    std::string id;
    std::string bytes;
    Reply<RecordAppended> reply;
};

/// \brief One record of a stream.
struct StreamRecord
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// \brief Answer to ReadRecords.
struct RecordsRead
{
    /// False when the log cannot be reached.
    bool reached = false;
    /// In offset order; leaves out none that the log holds between the first and the last. Empty at
    /// the end of the stream.
    std::vector<StreamRecord> records;
};

/// \brief Reads records that the log holds at or after an offset, and does not wait for new ones.
struct ReadRecords
{
    std::string stream;
    /// Offsets below the first one held mean the first one held.
    std::uint64_t from = 0;
    std::uint32_t max = 0;
    Reply<RecordsRead> reply;
};

using LogMessage = std::variant<AppendRecord, ReadRecords>;

} // namespace Coltsfootwell
