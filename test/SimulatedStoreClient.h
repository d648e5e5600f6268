// Simulates a daemon's client of the store: latency, bandwidth, timeouts, and answers that get
// lost.
#pragma once

#include "ProcessExecutor.h"
#include "SimulatedHost.h"
#include "SimulatedStore.h"
#include "services/ServiceError.h"

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace Coltsfootwell::Testing {

/// \brief The store as one daemon reaches it.
class SimulatedStoreClient final : public StoreClient,
                                   public std::enable_shared_from_this<SimulatedStoreClient>
{
public:
    /// Timeouts of the platform's client.
    static constexpr milliseconds NewestTimeout {1'500};
    static constexpr milliseconds LongPollMargin {800};
    /// Size after which the store ends a read, with the record that reaches it.
    static constexpr std::size_t MaxReadBytes = 64 * 1024;
    /// Bytes that have been sent when a client cancels a large answer: one TCP window.
    static constexpr std::size_t WindowBytes = 64 * 1024;

    /// \param shared executor of the store.
    /// \param process executor of the daemon.
    /// \param farLink link from the store to the far region.
    SimulatedStoreClient(SimulatedStore &store, SimulatedHost &host, BandwidthLimitedLink &farLink,
                         ManualExecutor &shared, ProcessExecutor &process)
        : m_store(store), m_host(host), m_farLink(farLink), m_shared(shared), m_process(process)
    {
    }

    void readNewest(std::string_view, std::string_view, std::size_t maxBytes,
                    std::function<void(NewestRecords)> done) override
    {
        start<NewestRecords>(NewestTimeout, std::move(done),
                             [this, maxBytes](const auto &call) { arriveNewest(call, maxBytes); });
    }

    void read(std::string_view, std::uint64_t from, milliseconds wait,
              std::function<void(RecordsRead)> done) override
    {
        start<RecordsRead>(wait + LongPollMargin, std::move(done),
                           [this, from, wait](const auto &call) { arriveRead(call, from, wait); });
    }

    void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                std::function<void(RecordAppended)>) override
    {
    }

    bool isReceiving() const override
    {
        const TimePoint now = m_shared.now();
        return now >= m_transferStart && now < m_transferEnd;
    }

    void cancelAll() override
    {
        ++m_generation;
        m_pendingRead = nullptr;
        m_transferEnd = {};
    }

    bool hasPendingRead() const { return m_pendingRead != nullptr; }

    /// \brief Rejects the pending read.
    void rejectPendingRead()
    {
        if (const auto call = std::exchange(m_pendingRead, nullptr)) {
            reject(call);
        }
    }

    /// \brief Drops the pending read without an answer.
    void dropPendingRead() { m_pendingRead = nullptr; }

    /// \brief Answers the pending read if there are records.
    void answerPendingRead()
    {
        const auto &records = m_store.records();
        if (!m_pendingRead || m_from >= records.size() || !isServed()) {
            return;
        }
        RecordsRead read;
        read.end = records.size();
        read.next = m_from;
        while (read.next < read.end && read.transfer.bytes < MaxReadBytes) {
            read.records.push_back(records[read.next++]);
            read.transfer.bytes += read.records.back().value.value_or("").size();
        }
        answer(std::exchange(m_pendingRead, nullptr), read, read.transfer.bytes);
    }

private:
    template <typename Answer>
    struct Call
    {
        std::function<void(Answer)> done;
        unsigned generation = 0;
        TimerId timeout = 0;
    };

    /// Sends a call, which arrives after the latency, and starts its timeout.
    template <typename Answer>
    void start(Duration timeout, std::function<void(Answer)> done,
               std::function<void(const std::shared_ptr<Call<Answer>> &)> arrive)
    {
        const auto call = std::make_shared<Call<Answer>>();
        call->done = std::move(done);
        call->generation = m_generation;
        startTimeout(call, timeout);
        m_shared.scheduleAfter(m_host.storeLatency(),
                               [this, self = weak_from_this(), call, arrive = std::move(arrive)] {
                                   if (!self.expired() && !m_process.isKilled()
                                       && !m_host.isCutFromStore) {
                                       arrive(call);
                                   }
                               });
    }

    template <typename Answer>
    void startTimeout(const std::shared_ptr<Call<Answer>> &call, Duration timeout)
    {
        call->timeout = m_process.scheduleAfter(timeout, [this, call] {
            if (call->generation != m_generation || !call->done) {
                return;
            }
            if (isReceiving()) {
                startTimeout(call, m_transferEnd - m_shared.now() + NearLatency);
                return;
            }
            m_pendingRead = nullptr;
            Answer failed;
            failed.ec = ServiceError::StoreUnavailable;
            std::exchange(call->done, nullptr)(failed);
        });
    }

    bool isServed() const { return m_store.mode == StoreMode::Serving && !m_host.isRejected; }

    /// \return false if the call gets no regular answer.
    template <typename Answer>
    bool accept(const std::shared_ptr<Call<Answer>> &call)
    {
        if (m_store.mode == StoreMode::Serving && !m_host.isRejected) {
            return true;
        }
        if (m_store.mode != StoreMode::Silent) {
            count(StoreCallRecord::Kind::Rejected);
            reject(call);
        }
        return false;
    }

    template <typename Answer>
    void reject(const std::shared_ptr<Call<Answer>> &call)
    {
        Answer refusal;
        refusal.ec = ServiceError::StoreUnavailable;
        answer(call, refusal, 0);
    }

    void arriveNewest(const std::shared_ptr<Call<NewestRecords>> &call, std::size_t maxBytes)
    {
        if (!accept(call)) {
            return;
        }
        NewestRecords newest;
        newest.end = m_store.records().size();
        newest.records = m_store.newest();
        for (const StoreRecord &record : newest.records) {
            // The value is encoded in base64.
            newest.transfer.bytes += record.value.value_or("").size() / 3 * 4;
        }
        if (newest.transfer.bytes > maxBytes) {
            newest = {};
            newest.ec = ServiceError::AnswerTooLarge;
            newest.transfer.bytes = WindowBytes;
        }
        count(StoreCallRecord::Kind::Newest);
        answer(call, newest, newest.transfer.bytes);
    }

    void arriveRead(const std::shared_ptr<Call<RecordsRead>> &call, std::uint64_t from,
                    milliseconds wait)
    {
        if (!accept(call)) {
            return;
        }
        count(StoreCallRecord::Kind::Read);
        if (from > m_store.records().size()) {
            RecordsRead lost;
            lost.ec = ServiceError::HistoryLost;
            lost.firstRetained = 0;
            answer(call, lost, 0);
            return;
        }
        m_pendingRead = call;
        m_from = from;
        m_shared.scheduleAfter(wait, [this, self = weak_from_this(), call] {
            if (!self.expired() && m_pendingRead == call) {
                m_pendingRead = nullptr;
                RecordsRead read;
                read.next = m_from;
                read.end = m_store.records().size();
                answer(call, read, 0);
            }
        });
        answerPendingRead();
    }

    template <typename Answer>
    void answer(const std::shared_ptr<Call<Answer>> &call, Answer result, std::size_t bytes)
    {
        if (m_host.isCutFromStore || m_store.mode == StoreMode::Silent) {
            return;
        }
        result.epoch = m_store.epoch;
        const TimePoint now = m_shared.now();
        m_store.recordAnswer(now, bytes);
        TimePoint end = m_host.link.send(now, bytes);
        if (m_host.isFar) {
            end = std::max(end, m_farLink.send(now, bytes));
        }
        const std::chrono::duration<double> duration(static_cast<double>(bytes)
                                                     / HostBytesPerSecond);
        m_transferEnd = end + m_host.storeLatency();
        m_transferStart = m_transferEnd - std::chrono::duration_cast<Duration>(duration);
        m_process.scheduleAfter(m_transferEnd - now, [this, call, result] {
            if (call->generation == m_generation && call->done && !m_host.isCutFromStore) {
                m_process.cancel(call->timeout);
                std::exchange(call->done, nullptr)(result);
            }
        });
    }

    void count(StoreCallRecord::Kind kind)
    {
        m_store.recordCall({m_shared.now(), kind, m_host.name});
    }

    SimulatedStore &m_store;
    SimulatedHost &m_host;
    BandwidthLimitedLink &m_farLink;
    ManualExecutor &m_shared;
    ProcessExecutor &m_process;
    std::shared_ptr<Call<RecordsRead>> m_pendingRead;
    std::uint64_t m_from = 0;
    TimePoint m_transferStart {};
    TimePoint m_transferEnd {};
    /// Incremented by cancelAll(); answers to calls of earlier generations are dropped.
    unsigned m_generation = 0;
};

} // namespace Coltsfootwell::Testing
