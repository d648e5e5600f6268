// What a daemon learns of its backend server from answers, reports and probes.
#pragma once

#include "kernel/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coltsfootwell {

/// \brief How a run has ended, as evidence about the server.
enum class RunOutcome {
    Success,
    /// Answered with a failure of the server.
    Failure,
    /// Bytes were sent and no whole answer came.
    Lost,
    /// No connection could be made.
    Unreachable,
    /// The server has refused the call without running it.
    Shed,
    /// Says nothing about the server, such as a cancelled run.
    Inconclusive,
};

/// \brief Where a call comes from, which tells how long it usually takes.
enum class CallOrigin : std::uint8_t {
    Caller,
    /// A backend server makes it while it runs another call.
    BackendServer,
};

/// \brief Running estimates of one backend server.
///
/// Load patterns: work that suddenly takes several times as long for half a second, and servers
/// that fail part of their calls while their health check is good.
class BackendHealth
{
public:
    /// Time after which half of the weight of earlier answers is gone.
    static constexpr std::chrono::milliseconds FailureHalfLife {1500};
    /// A slowness that was not renewed fades to the usual speed in about this time.
    static constexpr std::chrono::milliseconds SlownessLifetime {600};
    /// Slowness from which work is better left until the spell is over, in percent.
    static constexpr std::uint32_t SpellSlowness = 250;
    /// A server that is slow for longer counts as having this speed for good.
    static constexpr std::chrono::milliseconds MaxSpell {1500};
    /// Failed connections in a row after which the server counts as down.
    static constexpr unsigned UnreachableUntilDown = 1;
    /// Runs lost in a row, or failures in a row, after which the server counts as down.
    static constexpr unsigned LostUntilDown = 6;

    /// \brief A run has ended.
    /// \param elapsed time from the first byte sent to the end of the answer.
    void runEnded(RunOutcome end, Duration elapsed, TimePoint now,
                  CallOrigin origin = CallOrigin::Caller);

    /// \brief The server reports how long its work takes.
    /// \param percent of the usual time; 0 is taken as 100.
    void slownessReported(std::uint32_t percent, TimePoint now);

    /// \brief A probe was answered with success.
    void probeAnswered(TimePoint now);

    /// \brief A probe has failed.
    /// \param refused true when no connection could be made.
    void probeFailed(bool refused, TimePoint now);

    /// \brief Starts anew for another process.
    void reset();

    /// \return true when neither runs nor probes get through.
    bool isDown() const { return m_down; }

    /// \return time that work takes, in percent of the usual time.
    std::uint32_t slowness(TimePoint now) const;

    /// \return true in a spell of slow work that is likely to end soon.
    bool inTransientSlowdown(TimePoint now) const;

    /// \return share of recent answers that were failures, in percent.
    std::uint32_t failurePercent(TimePoint now) const;

    /// \return usual time of one answer at normal speed; zero when unknown.
    Duration typicalAnswerTime(CallOrigin origin) const { return m_usual[std::size_t(origin)]; }

    /// \return time of the last news about the server's speed.
    TimePoint speedUpdatedAt() const { return m_slownessAt; }

    /// \return time of the last good answer.
    TimePoint lastGood() const { return m_lastGood; }

private:
    void learnFailure(double failure, TimePoint now);
    double decay(TimePoint now) const;

    /// By origin.
    std::array<Duration, 2> m_usual {};
    std::uint32_t m_slowness = 100;
    TimePoint m_slownessAt {};
    TimePoint m_spellBegan {};
    /// Weights of recent failures and of all recent answers.
    double m_failures = 0;
    double m_answers = 0;
    TimePoint m_answersAt {};
    TimePoint m_lastGood {};
    unsigned m_unreachable = 0;
    unsigned m_lost = 0;
    bool m_down = false;
};

} // namespace Coltsfootwell
