// Asynchronous client interface of the platform's store. The store keeps compacted topics: each
// retains the newest record of every key, and a bounded history of earlier records.
#pragma once

#include "decisions/AnswerBudget.h"
#include "decisions/StorePosition.h"
#include "kernel/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief Record of a topic.
struct StoreRecord
{
    std::string key;
    /// std::nullopt if the record deletes the key.
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// \brief Size and transfer time of an answer of the store.
struct TransferStats
{
    /// Size of the body.
    std::size_t bytes = 0;
    /// Time from the end of the header to the last byte of the body.
    Duration bodyReceiveTime {};
};

/// \brief Result of StoreClient::readNewest(): the newest record of each key.
struct NewestRecords
{
    /// ServiceError::StoreUnavailable or ServiceError::AnswerTooLarge; cleared on success.
    std::error_code ec;
    std::vector<StoreRecord> records;
    /// True if further pages follow the last key.
    bool hasMore = false;
    /// End offset of the topic: the offset of the next record to be appended.
    std::uint64_t end = 0;
    /// Epoch of the store; std::nullopt if the answer does not name it.
    std::optional<StoreEpoch> epoch;
    TransferStats transfer;
};

/// \brief Result of StoreClient::read(): consecutive records starting at an offset.
struct RecordsRead
{
    /// ServiceError::StoreUnavailable or ServiceError::HistoryLost; cleared on success.
    std::error_code ec;
    std::vector<StoreRecord> records;
    /// Offset of the next record to read.
    std::uint64_t next = 0;
    /// End offset of the topic; higher than `next` if further records can be read.
    std::uint64_t end = 0;
    /// Offset of the first record that the store retains, if it has told it with HistoryLost.
    std::optional<std::uint64_t> firstRetained;
    /// Epoch of the store; std::nullopt if the answer does not name it.
    std::optional<StoreEpoch> epoch;
    TransferStats transfer;
};

/// \brief Result of StoreClient::append().
struct RecordAppended
{
    /// ServiceError::StoreUnavailable or ServiceError::Conflict; cleared on success.
    std::error_code ec;
    /// End offset of the topic.
    std::uint64_t end = 0;
    /// Epoch of the store; std::nullopt if the answer does not name it.
    std::optional<StoreEpoch> epoch;
};

/// \brief Asynchronous access to the store. Each handler is called at most once, on the executor of
/// the kernel; it is not called after cancelAll().
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    /// \brief Reads one page of the newest records of all keys.
    /// \param topic name of the topic.
    /// \param after last key of the previous page; empty for the first page.
    /// \param maxBytes maximum size of the answer; a larger one fails with AnswerTooLarge.
    /// \param done receives the page.
    virtual void readNewest(std::string_view topic, std::string_view after, std::size_t maxBytes,
                            std::function<void(NewestRecords)> done)
        = 0;

    /// \brief Reads at least one record, and further ones up to a size limit of the implementation.
    /// \param topic name of the topic.
    /// \param offset offset of the first record.
    /// \param longPollTimeout how long the store waits for a record if there is none yet.
    /// \param done receives the records; none if the long poll timed out.
    virtual void read(std::string_view topic, std::uint64_t offset,
                      std::chrono::milliseconds longPollTimeout,
                      std::function<void(RecordsRead)> done)
        = 0;

    /// \brief Appends a record.
    /// \param topic name of the topic.
    /// \param record key and value; the offset is ignored.
    /// \param expectedEnd end offset that the topic must have, otherwise the append fails with
    /// Conflict; std::nullopt to append unconditionally.
    /// \param done receives the result.
    virtual void append(std::string_view topic, const StoreRecord &record,
                        std::optional<std::uint64_t> expectedEnd,
                        std::function<void(RecordAppended)> done)
        = 0;

    /// \return true while the body of an answer is being received, which can take seconds over a
    /// low-bandwidth link.
    virtual bool isReceiving() const = 0;

    /// Maximum size in bytes of any answer; pass it as `maxBytes` for no further limit.
    static constexpr std::size_t MaxAnswerBytes = AnswerBudget::MaxBytes;

    /// \brief Cancels all calls in flight without calling their handlers.
    virtual void cancelAll() = 0;
};

} // namespace Coltsfootwell
