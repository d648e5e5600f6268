// A store with one keyed topic in memory, for tests of services that keep records there.
#pragma once

#include "kernel/Executor.h"
#include "services/ServiceError.h"
#include "services/StoreClient.h"

#include <algorithm>

namespace Coltsfootwell::Testing {

/// Answers immediately, with an error while it is not available.
class FakeKeyedStore final : public StoreClient
{
public:
    explicit FakeKeyedStore(Executor &executor) : m_executor(executor) { }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        NewestRecords newest;
        newest.records = records;
        newest.end = end;
        newest.ec = available ? std::error_code() : ServiceError::StoreUnavailable;
        m_executor.post([done, newest] { done(newest); });
    }

    void read(std::string_view, std::uint64_t, std::chrono::milliseconds,
              std::function<void(RecordsRead)>) override
    {
    }

    void append(std::string_view, const StoreRecord &record,
                std::optional<std::uint64_t> expectedEnd,
                std::function<void(RecordAppended)> done) override
    {
        RecordAppended appended;
        if (!available) {
            appended.ec = ServiceError::StoreUnavailable;
        } else if (expectedEnd && *expectedEnd != end) {
            appended.ec = ServiceError::Conflict;
        } else {
            ++appends;
            std::erase_if(records,
                          [&record](const StoreRecord &other) { return other.key == record.key; });
            if (record.value) {
                records.push_back({record.key, record.value, end});
            }
            ++end;
        }
        appended.end = end;
        m_executor.post([done, appended] { done(appended); });
    }

    bool isReceiving() const override { return false; }
    void cancelAll() override { }

    bool contains(std::string_view key) const
    {
        return std::ranges::find(records, key, &StoreRecord::key) != records.end();
    }

    bool available = true;
    /// Newest record of each key.
    std::vector<StoreRecord> records;
    std::uint64_t end = 0;
    unsigned appends = 0;

private:
    Executor &m_executor;
};

} // namespace Coltsfootwell::Testing
