// Estimates the health and speed of a backend server from answers, load reports and probes.
#pragma once

#include "kernel/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coltsfootwell {

/// \brief Result of a run, as evidence of the health of the server.
enum class RunOutcome {
    Success,
    /// The server answered with a failure.
    Failure,
    /// Bytes were sent, but no complete answer arrived.
    Lost,
    /// No connection to the server could be established.
    Unreachable,
    /// The server refused the call without running it.
    Shed,
    /// Not evidence of the server's health, such as a cancelled run.
    Inconclusive,
};

/// \brief Origin of a call. Nested calls are often much shorter than calls of callers.
enum class CallOrigin : std::uint8_t {
    Caller,
    /// A nested call, made by a backend server while it runs another call.
    BackendServer,
};

/// \brief Moving averages and counters for one backend server.
///
/// Detects servers whose work takes several times as long for about half a second, and servers that
/// fail a part of their calls while their health check succeeds.
class BackendHealth
{
public:
    /// Half-life of the weight of past answers in the failure rate.
    static constexpr std::chrono::milliseconds FailureHalfLife {1500};
    /// Time for which a slowness report counts in full; afterwards it decays exponentially towards
    /// normal speed with this time constant.
    static constexpr std::chrono::milliseconds SlownessDecayTime {600};
    /// Minimum slowness, in percent of the typical time, at which new work should be deferred until
    /// the transient slowdown ends.
    static constexpr std::uint32_t SlowdownThresholdPercent = 250;
    /// Maximum duration of a transient slowdown; a server that is slow for longer is considered
    /// permanently slow.
    static constexpr std::chrono::milliseconds MaxTransientSlowdownTime {1500};
    /// Number of consecutive failed connections after which the server counts as down.
    static constexpr unsigned UnreachableThreshold = 1;
    /// Number of lost runs and failed probes without a success in between after which the server
    /// counts as down.
    static constexpr unsigned LostThreshold = 6;

    /// \brief Records the result of a run.
    /// \param elapsed time from the first byte sent to the end of the answer.
    void runEnded(RunOutcome outcome, Duration elapsed, TimePoint now,
                  CallOrigin origin = CallOrigin::Caller);

    /// \brief Records the slowness that the server reports.
    /// \param percent duration of its work in percent of the typical duration; 0 counts as 100.
    void slownessReported(std::uint32_t percent, TimePoint now);

    /// \brief Records a successful probe.
    void probeAnswered(TimePoint now);

    /// \brief Records a failed probe.
    /// \param refused true if no connection could be established.
    void probeFailed(bool refused, TimePoint now);

    /// \brief Discards all estimates; called when another server process takes over.
    void reset();

    /// \return true if neither runs nor probes reach the server.
    bool isDown() const { return m_down; }

    /// \return estimated duration of work, in percent of the typical duration.
    std::uint32_t slowness(TimePoint now) const;

    /// \return true during a slowdown that is likely to end soon.
    bool inTransientSlowdown(TimePoint now) const;

    /// \return recent failure rate in percent.
    std::uint32_t failurePercent(TimePoint now) const;

    /// \return average time of one answer at normal speed; zero if unknown.
    Duration typicalAnswerTime(CallOrigin origin) const
    {
        return m_typicalAnswerTimes[std::size_t(origin)];
    }

    /// \return time of the last report of the server's speed.
    TimePoint speedUpdatedAt() const { return m_slownessUpdatedAt; }

private:
    void recordResult(double failure, TimePoint now);
    double decay(TimePoint now) const;

    /// Indexed by CallOrigin.
    std::array<Duration, 2> m_typicalAnswerTimes {};
    std::uint32_t m_slowness = 100;
    TimePoint m_slownessUpdatedAt {};
    TimePoint m_slowdownStartedAt {};
    /// Decayed weights of recent failures and of all recent answers.
    double m_failures = 0;
    double m_answers = 0;
    TimePoint m_answersUpdatedAt {};
    unsigned m_consecutiveUnreachable = 0;
    unsigned m_lostSinceSuccess = 0;
    bool m_down = false;
};

} // namespace Coltsfootwell
