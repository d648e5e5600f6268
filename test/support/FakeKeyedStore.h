// A store with one keyed topic in memory, for tests of services that keep records there.
#pragma once

#include "kernel/Executor.h"
#include "services/ServiceError.h"
#include "services/StoreClient.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace Coltsfootwell::Testing {

/// Answers immediately, with an error while it is not available.
class FakeKeyedStore final : public StoreClient
{
public:
    /// Content of the store at some time.
    struct Copy
    {
        std::vector<StoreRecord> records;
        std::uint64_t end = 0;
    };

    explicit FakeKeyedStore(Executor &executor) : m_executor(executor) { }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        ++reads;
        NewestRecords newest;
        newest.records = records;
        newest.end = end;
        newest.epoch = epoch;
        newest.ec = available ? std::error_code() : ServiceError::StoreUnavailable;
        answer([done, newest] { done(newest); });
    }

    void read(std::string_view, std::uint64_t, std::chrono::milliseconds,
              std::function<void(RecordsRead)>) override
    {
    }

    void append(std::string_view, const StoreRecord &record,
                std::optional<std::uint64_t> expectedEnd,
                std::function<void(RecordAppended)> done) override
    {
        appendTimes.push_back(m_executor.now());
        if (beforeAppend) {
            beforeAppend(record);
        }
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
        appended.epoch = epoch;
        answer([done, appended] { done(appended); });
    }

    bool isReceiving() const override { return false; }
    void cancelAll() override { }

    bool contains(std::string_view key) const
    {
        return std::ranges::find(records, key, &StoreRecord::key) != records.end();
    }

    Copy copy() const { return {records, end}; }

    /// Comes back from an older copy, in the next epoch.
    void returnFrom(const Copy &copy)
    {
        records = copy.records;
        end = copy.end;
        epoch = epoch.value_or(0) + 1;
    }

    /// Delivers the answers that were held back.
    void deliverHeld()
    {
        holdsAnswers = false;
        for (auto &held : std::exchange(m_held, {})) {
            m_executor.post(std::move(held));
        }
    }

    bool available = true;
    /// True while calls are executed, but not answered.
    bool holdsAnswers = false;
    /// Called before the store executes an append.
    std::function<void(const StoreRecord &)> beforeAppend;
    /// Epoch that the answers name; std::nullopt to name none.
    std::optional<StoreEpoch> epoch;
    /// Newest record of each key.
    std::vector<StoreRecord> records;
    std::uint64_t end = 0;
    unsigned appends = 0;
    /// Times of all calls of append(), successful or not.
    std::vector<TimePoint> appendTimes;
    unsigned reads = 0;

private:
    void answer(Task task)
    {
        if (holdsAnswers) {
            m_held.push_back(std::move(task));
        } else {
            m_executor.post(std::move(task));
        }
    }

    Executor &m_executor;
    std::vector<Task> m_held;
};

} // namespace Coltsfootwell::Testing
