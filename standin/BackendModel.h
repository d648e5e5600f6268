// Slots, cold start and reported load of the stand-in backend server, without sockets.
#pragma once

#include "kernel/Random.h"
#include "kernel/Time.h"
#include "standin/BackendOptions.h"

#include <deque>
#include <string_view>

namespace Coltsfootwell::Standin {

enum class Condition {
    Ready,
    Cold,
    /// Answers nothing and closes connections.
    Fallen,
    Draining,
};

/// \param condition any value.
/// \return its name in reports and histories.
std::string_view conditionName(Condition condition);

enum class Entry {
    Serve,
    /// All slots are taken.
    Shed,
    /// The call made the cold server fall over, or it has not recovered yet.
    Fall,
};

/// \brief Faults that a control command switches on.
struct BackendFaults
{
    std::chrono::milliseconds straggle {0};
    double failFastShare = 0;
    unsigned loseAnswers = 0;
    /// Bytes of the body after which the connection is closed; negative when off.
    std::int64_t cutAfterBytes = -1;
    std::chrono::milliseconds loadLag {0};
    /// Number of calls that the load report claims; negative when it tells the truth.
    std::int64_t loadLie = -1;
};

/// \brief State of one backend server.
class BackendModel
{
public:
    explicit BackendModel(const BackendOptions &options);

    /// \brief A call wants a slot.
    Entry enter(TimePoint now);

    /// \brief A call that got a slot has ended.
    /// \param answered true when it counts towards warming up.
    void leave(bool answered, TimePoint now);

    /// \param random source of the distribution.
    /// \return time that the work of one call takes now.
    Duration serviceTime(Random &random) const;

    void turnCold();
    void drain();

    Condition condition(TimePoint now) const;
    unsigned inUse() const { return m_inUse; }

    /// \return calls in progress as the load report gives them, with lag and lie.
    unsigned reportedInUse(TimePoint now) const;

    BackendFaults faults;

private:
    void sample(TimePoint now);

    BackendOptions m_options;
    unsigned m_inUse = 0;
    bool m_cold;
    bool m_draining = false;
    unsigned m_answers = 0;
    TimePoint m_fallenUntil {};
    std::deque<std::pair<TimePoint, unsigned>> m_samples;
};

} // namespace Coltsfootwell::Standin
