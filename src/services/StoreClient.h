// How services and tools reach the platform's store: topics that keep the newest record of each
// key, and their history.
#pragma once

#include "decisions/AnswerBudget.h"
#include "kernel/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief One record of a topic.
struct StoreRecord
{
    std::string key;
    /// Nothing when the key was removed.
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// \brief What an answer of the store took on the way.
struct TransferStats
{
    /// Length of its body.
    std::size_t bytes = 0;
    /// Time from its header to its last byte.
    Duration arrival {};
};

/// \brief Newest record of each key.
struct NewestRecords
{
    /// ServiceError::StoreUnavailable, ServiceError::AnswerTooLong or cleared.
    std::error_code ec;
    std::vector<StoreRecord> records;
    /// True when there are more keys after the last one.
    bool hasMore = false;
    /// Offset of the next record of the topic.
    std::uint64_t end = 0;
    TransferStats transfer;
};

/// \brief Records from an offset on.
struct RecordsRead
{
    /// ServiceError::StoreUnavailable, ServiceError::HistoryLost or cleared.
    std::error_code ec;
    std::vector<StoreRecord> records;
    /// Offset of the next record to read.
    std::uint64_t next = 0;
    /// Offset of the next record of the topic; higher than `next` when there is more to read.
    std::uint64_t end = 0;
    TransferStats transfer;
};

/// \brief Outcome of an append.
struct RecordAppended
{
    /// ServiceError::StoreUnavailable, ServiceError::Conflict or cleared.
    std::error_code ec;
    std::uint64_t end = 0;
};

/// \brief Asynchronous access to the store. Handlers are called once, on the caller's executor.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    /// \param topic name of the topic.
    /// \param after key after which the page begins; empty for the first page.
    /// \param maxBytes longest answer that is read.
    virtual void readNewest(std::string_view topic, std::string_view after, std::size_t maxBytes,
                            std::function<void(NewestRecords)> done)
        = 0;

    /// \brief Reads one record, and further ones as long as they are short.
    /// \param topic name of the topic.
    /// \param from offset of the first record wanted.
    /// \param wait time that the store waits for a record when there is none yet.
    virtual void read(std::string_view topic, std::uint64_t from, std::chrono::milliseconds wait,
                      std::function<void(RecordsRead)> done)
        = 0;

    /// \param topic name of the topic.
    /// \param record without its offset.
    /// \param at offset at which the topic must end; nothing for any.
    virtual void append(std::string_view topic, const StoreRecord &record,
                        std::optional<std::uint64_t> at, std::function<void(RecordAppended)> done)
        = 0;

    /// \return true while an answer arrives, which may take long over a narrow link.
    virtual bool isReceiving() const = 0;

    /// No bound but that of all answers.
    static constexpr std::size_t MaxAnswerBytes = AnswerBudget::MaxBytes;

    /// \brief Drops all calls in progress; their handlers are not called.
    virtual void cancelAll() = 0;
};

} // namespace Coltsfootwell
