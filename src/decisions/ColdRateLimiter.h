// Limits the call rate of a cold backend server.
#pragma once

#include "kernel/Time.h"

#include <deque>
#include <optional>

namespace Coltsfootwell {

/// \brief Sliding-window rate limiter with a window of one second.
///
/// A server that has just started, or that has become cold without notice, fails above a certain
/// call rate, regardless of its free slots.
class ColdRateLimiter
{
public:
    /// Length of the sliding window. The limit of a server holds for any window of this length.
    static constexpr std::chrono::seconds Window {1};

    /// Fraction of the slack that is used. The rest covers calls that start before the daemon
    /// detects that the server has become cold.
    static constexpr double SlackUsed = 0.5;

    /// \param callsPerSecond maximum call rate of a cold server; 0 for no limit.
    /// \param slack number of calls per second that the server tolerates above that rate.
    void limitChanged(double callsPerSecond, double slack = 0)
    {
        m_callsPerSecond = callsPerSecond;
        m_slack = slack;
    }

    /// \brief Sets the time until which the server is cold; replaces any earlier value.
    void setColdUntil(TimePoint end) { m_coldUntil = end; }

    /// \return true while the server is cold.
    bool isCold(TimePoint now) const { return now < m_coldUntil; }

    /// \brief Counts a started call. Calls to a warm server count too, because the server may
    /// become cold at any time.
    void callStarted(TimePoint now);

    /// \return true if another call may start now.
    bool mayStart(TimePoint now);

    /// \return earliest time at which a call may start; empty if a call may start now.
    std::optional<TimePoint> nextStart(TimePoint now);

private:
    void evictExpired(TimePoint now);
    std::size_t limit() const;

    double m_callsPerSecond = 0;
    double m_slack = 0;
    TimePoint m_coldUntil {};
    std::deque<TimePoint> m_starts;
};

} // namespace Coltsfootwell
