#include "decisions/BackendHealth.h"

#include <algorithm>
#include <cmath>

namespace Coltsfootwell {

namespace {

/// Weight of a new answer in the moving average is 1 / AveragingWindow.
constexpr int AveragingWindow = 16;
/// Maximum ratio of an answer time to the average; longer times are clamped, because most of these
/// answers started during a transient slowdown that was over when they ended.
constexpr int OutlierFactor = 3;
constexpr std::uint32_t NormalSlownessPercent = 100;
/// Weight of successful answers assumed at the start, so that a single failure is not a failure
/// rate of 100%.
constexpr double PriorAnswers = 3;

} // namespace

void BackendHealth::runEnded(RunOutcome outcome, Duration elapsed, TimePoint now, CallOrigin origin)
{
    switch (outcome) {
    case RunOutcome::Success: {
        m_consecutiveUnreachable = 0;
        m_lostSinceSuccess = 0;
        m_down = false;
        recordResult(0, now);
        const Duration normalized
            = elapsed * NormalSlownessPercent / std::max(NormalSlownessPercent, slowness(now));
        Duration &average = m_typicalAnswerTimes[std::size_t(origin)];
        average = average == Duration()
            ? normalized
            : average + (std::min(normalized, average * OutlierFactor) - average) / AveragingWindow;
        break;
    }
    case RunOutcome::Failure:
        m_consecutiveUnreachable = 0;
        recordResult(1, now);
        break;
    case RunOutcome::Lost:
        recordResult(1, now);
        m_down = m_down || ++m_lostSinceSuccess >= LostThreshold;
        break;
    case RunOutcome::Unreachable:
        recordResult(1, now);
        m_down = m_down || ++m_consecutiveUnreachable >= UnreachableThreshold;
        break;
    case RunOutcome::Shed:
        m_consecutiveUnreachable = 0;
        recordResult(1, now);
        break;
    case RunOutcome::Inconclusive:
        break;
    }
}

void BackendHealth::slownessReported(std::uint32_t percent, TimePoint now)
{
    if (slowness(now) < SlowdownThresholdPercent) {
        m_slowdownStartedAt = now;
    }
    m_slowness = percent == 0 ? NormalSlownessPercent : percent;
    m_slownessUpdatedAt = now;
}

void BackendHealth::probeAnswered(TimePoint)
{
    m_consecutiveUnreachable = 0;
    m_lostSinceSuccess = 0;
    m_down = false;
}

void BackendHealth::probeFailed(bool refused, TimePoint)
{
    if (refused) {
        m_down = m_down || ++m_consecutiveUnreachable >= UnreachableThreshold;
    } else {
        m_down = m_down || ++m_lostSinceSuccess >= LostThreshold;
    }
}

void BackendHealth::reset()
{
    *this = BackendHealth();
}

std::uint32_t BackendHealth::slowness(TimePoint now) const
{
    if (m_slowness <= NormalSlownessPercent) {
        return m_slowness;
    }
    const double age = std::chrono::duration<double>(now - m_slownessUpdatedAt).count();
    const double decayTime = std::chrono::duration<double>(SlownessDecayTime).count();
    const double remaining = age <= decayTime ? 1.0 : std::exp(1.0 - age / decayTime);
    return NormalSlownessPercent
        + static_cast<std::uint32_t>((m_slowness - NormalSlownessPercent) * remaining);
}

bool BackendHealth::inTransientSlowdown(TimePoint now) const
{
    return slowness(now) >= SlowdownThresholdPercent
        && now - m_slowdownStartedAt < MaxTransientSlowdownTime;
}

std::uint32_t BackendHealth::failurePercent(TimePoint now) const
{
    const double decayFactor = decay(now);
    return static_cast<std::uint32_t>(
        std::lround(100 * m_failures * decayFactor / (m_answers * decayFactor + PriorAnswers)));
}

void BackendHealth::recordResult(double failure, TimePoint now)
{
    const double decayFactor = decay(now);
    m_failures = m_failures * decayFactor + failure;
    m_answers = m_answers * decayFactor + 1;
    m_answersUpdatedAt = now;
}

double BackendHealth::decay(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_answersUpdatedAt;
    return std::exp2(-age / std::chrono::duration<double>(FailureHalfLife));
}

} // namespace Coltsfootwell
