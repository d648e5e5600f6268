// Chooses the callers whose connections are closed when there is no memory for answers.
//
// Guards against callers that read their answers slowly or not at all: each holds memory that the
// answers of other callers wait for.
#pragma once

#include "kernel/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace Coltsfootwell {

/// \brief A caller that has not taken all of its answers.
struct AnswerReader
{
    std::uint64_t id = 0;
    /// Number of bytes of answers that it holds.
    std::size_t heldBytes = 0;
    /// Number of bytes that it has received since it connected.
    std::uint64_t receivedBytes = 0;
};

/// \brief Watches callers while there is no memory for answers, and chooses those that make no
/// progress. Callers that read slowly are served as long as there is memory.
class SlowReaders
{
public:
    /// Time for which a caller is watched before it is chosen.
    static constexpr Duration WatchTime = std::chrono::seconds(1);
    /// A caller that receives at least this number of bytes in WatchTime is not slow.
    static constexpr std::uint64_t MinReceivedBytes = 16 * 1024;
    /// Time without a call of choose() after which a new shortage begins. Nothing was written to
    /// the callers if this process stood still meanwhile.
    static constexpr Duration MaxCallInterval = std::chrono::milliseconds(500);

    /// \brief Chooses the callers to close; call it repeatedly during a shortage.
    /// \param readers all callers that hold answers.
    /// \param neededBytes number of bytes that other answers wait for.
    /// \return ids of the callers that have received the least, as many as are needed.
    std::vector<std::uint64_t> choose(std::span<const AnswerReader> readers,
                                      std::size_t neededBytes, TimePoint now);

private:
    struct Watch
    {
        TimePoint since;
        std::uint64_t receivedBytes = 0;
    };

    /// Callers by their ids.
    std::map<std::uint64_t, Watch> m_watched;
    TimePoint m_lastCall {};
};

} // namespace Coltsfootwell
