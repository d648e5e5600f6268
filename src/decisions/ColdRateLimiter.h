// Limits the calls per second to a backend server that is cold.
#pragma once

#include "kernel/Time.h"

#include <deque>
#include <optional>

namespace Coltsfootwell {

/// \brief Counts starts in a sliding second.
///
/// Load pattern: a server that has just started, or has turned cold without notice, fails above a
/// rate of calls, whatever its free slots.
class ColdRateLimiter
{
public:
    /// The server's limit holds for every span of this length.
    static constexpr std::chrono::seconds Window {1};

    /// Part of the slack that is used; the rest is for calls that start before a cold turn is
    /// known.
    static constexpr double SlackUsed = 0.5;

    /// \param callsPerSecond that a cold server bears; 0 for no limit.
    /// \param slack calls in a second that it bears beyond that rate.
    void limitChanged(double callsPerSecond, double slack = 0)
    {
        m_callsPerSecond = callsPerSecond;
        m_slack = slack;
    }

    /// \brief The server is cold until a time; an earlier end replaces a later one.
    void setColdUntil(TimePoint end) { m_until = end; }

    /// \return true while the server counts as cold.
    bool isCold(TimePoint now) const { return now < m_until; }

    /// \brief Counts a start. Starts of a warm server count too, since it may turn cold at any
    /// time.
    void callStarted(TimePoint now);

    /// \return true when another call may start now.
    bool mayStart(TimePoint now);

    /// \return time of the next possible start; nothing when a call may start now.
    std::optional<TimePoint> nextStart(TimePoint now);

private:
    void forget(TimePoint now);
    std::size_t limit() const;

    double m_callsPerSecond = 0;
    double m_slack = 0;
    TimePoint m_until {};
    std::deque<TimePoint> m_starts;
};

} // namespace Coltsfootwell
