// Simulates the content of the users' store, with drills in which it comes back from an older copy,
// and counts the calls to it.
#pragma once

#include "kernel/Time.h"
#include "services/StoreClient.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief How the store treats all daemons.
enum class StoreMode {
    Serving,
    /// Accepts calls and answers none.
    Silent,
    /// Rejects all calls at once.
    Rejecting,
};

/// \brief One call to the store.
struct StoreCallRecord
{
    enum class Kind { Newest, Read, Rejected };

    TimePoint at;
    Kind kind = Kind::Read;
    std::string daemon;
};

/// \brief The only topic of the store.
class SimulatedStore
{
public:
    /// Epoch that answers name; std::nullopt for a store that names none.
    std::optional<StoreEpoch> epoch = 1;
    StoreMode mode = StoreMode::Serving;

    /// \brief Appends a record.
    /// \param value std::nullopt to delete the key.
    void append(const std::string &key, const std::optional<std::string> &value)
    {
        m_records.push_back({key, value, m_records.size()});
    }

    /// \brief Copies the content; a later call of restoreCopy() returns to it.
    void takeCopy() { m_copy = m_records; }

    /// \brief Replaces the content by the copy. Offsets after the end of the copy are given out
    /// again.
    /// \return the newest lost record of each key.
    std::vector<StoreRecord> restoreCopy()
    {
        std::map<std::string, StoreRecord> lost;
        for (std::size_t i = m_copy.size(); i < m_records.size(); ++i) {
            lost[m_records[i].key] = m_records[i];
        }
        m_records = m_copy;
        if (epoch) {
            ++*epoch;
        }
        std::vector<StoreRecord> result;
        for (const auto &[key, record] : lost) {
            result.push_back(record);
        }
        std::ranges::sort(result, {}, &StoreRecord::offset);
        return result;
    }

    const std::vector<StoreRecord> &records() const { return m_records; }

    /// \return the newest record of each key that is not deleted.
    std::vector<StoreRecord> newest() const
    {
        std::map<std::string, StoreRecord> byKey;
        for (const StoreRecord &record : m_records) {
            byKey[record.key] = record;
        }
        std::vector<StoreRecord> result;
        for (const auto &[key, record] : byKey) {
            if (record.value) {
                result.push_back(record);
            }
        }
        return result;
    }

    void recordCall(const StoreCallRecord &call) { m_calls.push_back(call); }

    const std::vector<StoreCallRecord> &calls() const { return m_calls; }

    /// \return number of calls of a kind that arrived in [from, to).
    std::size_t callsBetween(TimePoint from, TimePoint to,
                             std::optional<StoreCallRecord::Kind> kind = {}) const
    {
        return std::ranges::count_if(m_calls, [&](const StoreCallRecord &call) {
            return call.at >= from && call.at < to && (!kind || call.kind == *kind);
        });
    }

    void recordAnswer(TimePoint at, std::size_t bytes) { m_answers.emplace_back(at, bytes); }

    /// \return bytes of the answers in [from, to).
    std::size_t bytesBetween(TimePoint from, TimePoint to) const
    {
        std::size_t sum = 0;
        for (const auto &[at, bytes] : m_answers) {
            sum += at >= from && at < to ? bytes : 0;
        }
        return sum;
    }

    /// \return highest number of calls that arrived in any second of [from, to).
    /// \param daemon counts the calls of this daemon only; empty for all daemons.
    std::size_t maxCallsPerSecond(TimePoint from, TimePoint to, std::string_view daemon = "") const
    {
        std::size_t max = 0;
        std::vector<TimePoint> window;
        std::size_t first = 0;
        for (const StoreCallRecord &call : m_calls) {
            if (call.at < from || call.at >= to || (!daemon.empty() && call.daemon != daemon)) {
                continue;
            }
            window.push_back(call.at);
            while (window[first] + std::chrono::seconds(1) <= call.at) {
                ++first;
            }
            max = std::max(max, window.size() - first);
        }
        return max;
    }

private:
    std::vector<StoreRecord> m_records;
    std::vector<StoreRecord> m_copy;
    std::vector<StoreCallRecord> m_calls;
    std::vector<std::pair<TimePoint, std::size_t>> m_answers;
};

} // namespace Coltsfootwell::Testing
