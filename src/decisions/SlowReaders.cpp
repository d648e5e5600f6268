#include "decisions/SlowReaders.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Coltsfootwell {

std::vector<std::uint64_t> SlowReaders::choose(std::span<const AnswerReader> readers,
                                               std::size_t neededBytes, TimePoint now)
{
    struct Candidate
    {
        std::uint64_t receivedBytes = 0;
        TimePoint since;
        std::uint64_t id = 0;
        std::size_t heldBytes = 0;
    };

    if (now - std::exchange(m_lastCall, now) > MaxCallInterval) {
        m_watched.clear();
    }
    std::map<std::uint64_t, Watch> watched;
    std::vector<Candidate> candidates;
    for (const AnswerReader &reader : readers) {
        const auto it = m_watched.find(reader.id);
        Watch watch = it == m_watched.end() ? Watch {now, reader.receivedBytes} : it->second;
        if (now - watch.since >= WatchTime) {
            const std::uint64_t received = reader.receivedBytes - watch.receivedBytes;
            if (received < MinReceivedBytes) {
                candidates.push_back({received, watch.since, reader.id, reader.heldBytes});
            } else {
                watch = {now, reader.receivedBytes};
            }
        }
        watched.emplace(reader.id, watch);
    }
    m_watched = std::move(watched);
    std::ranges::sort(candidates, {}, [](const Candidate &candidate) {
        return std::tuple(candidate.receivedBytes, candidate.since, candidate.id);
    });
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (auto it = candidates.begin(); it != candidates.end() && freed < neededBytes; ++it) {
        chosen.push_back(it->id);
        freed += it->heldBytes;
    }
    return chosen;
}

} // namespace Coltsfootwell
