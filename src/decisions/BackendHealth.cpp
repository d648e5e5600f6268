#include "decisions/BackendHealth.h"

#include <algorithm>
#include <cmath>

namespace Coltsfootwell {

namespace {

/// Weight of one answer in the moving average is 1 / AverageSpan.
constexpr int AverageSpan = 16;
/// An answer that took longer than this many times the average counts as that long: most of these
/// began in a slow spell that was over when they ended.
constexpr int OutlierFactor = 3;
constexpr std::uint32_t UsualSpeed = 100;
/// Answers before the first ones count as good, so that one failure is not a share of 100%.
constexpr double PriorAnswers = 3;

} // namespace

void BackendHealth::runEnded(RunOutcome end, Duration elapsed, TimePoint now, CallOrigin origin)
{
    switch (end) {
    case RunOutcome::Success: {
        m_unreachable = 0;
        m_lost = 0;
        m_down = false;
        m_lastGood = now;
        learnFailure(0, now);
        const Duration usual = elapsed * UsualSpeed / std::max(UsualSpeed, slowness(now));
        Duration &average = m_usual[std::size_t(origin)];
        average = average == Duration()
            ? usual
            : average + (std::min(usual, average * OutlierFactor) - average) / AverageSpan;
        break;
    }
    case RunOutcome::Failure:
        m_unreachable = 0;
        learnFailure(1, now);
        break;
    case RunOutcome::Lost:
        learnFailure(1, now);
        m_down = m_down || ++m_lost >= LostUntilDown;
        break;
    case RunOutcome::Unreachable:
        learnFailure(1, now);
        m_down = m_down || ++m_unreachable >= UnreachableUntilDown;
        break;
    case RunOutcome::Shed:
        m_unreachable = 0;
        learnFailure(1, now);
        break;
    case RunOutcome::Inconclusive:
        break;
    }
}

void BackendHealth::slownessReported(std::uint32_t percent, TimePoint now)
{
    if (slowness(now) < SpellSlowness) {
        m_spellBegan = now;
    }
    m_slowness = percent == 0 ? UsualSpeed : percent;
    m_slownessAt = now;
}

void BackendHealth::probeAnswered(TimePoint)
{
    m_unreachable = 0;
    m_lost = 0;
    m_down = false;
}

void BackendHealth::probeFailed(bool refused, TimePoint)
{
    if (refused) {
        m_down = m_down || ++m_unreachable >= UnreachableUntilDown;
    } else {
        m_down = m_down || ++m_lost >= LostUntilDown;
    }
}

void BackendHealth::reset()
{
    *this = BackendHealth();
}

std::uint32_t BackendHealth::slowness(TimePoint now) const
{
    if (m_slowness <= UsualSpeed) {
        return m_slowness;
    }
    const double age = std::chrono::duration<double>(now - m_slownessAt).count();
    const double life = std::chrono::duration<double>(SlownessLifetime).count();
    const double left = age <= life ? 1.0 : std::exp(1.0 - age / life);
    return UsualSpeed + static_cast<std::uint32_t>((m_slowness - UsualSpeed) * left);
}

bool BackendHealth::inTransientSlowdown(TimePoint now) const
{
    return slowness(now) >= SpellSlowness && now - m_spellBegan < MaxSpell;
}

std::uint32_t BackendHealth::failurePercent(TimePoint now) const
{
    const double kept = decay(now);
    return static_cast<std::uint32_t>(
        std::lround(100 * m_failures * kept / (m_answers * kept + PriorAnswers)));
}

void BackendHealth::learnFailure(double failure, TimePoint now)
{
    const double kept = decay(now);
    m_failures = m_failures * kept + failure;
    m_answers = m_answers * kept + 1;
    m_answersAt = now;
}

double BackendHealth::decay(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_answersAt;
    return std::exp2(-age / std::chrono::duration<double>(FailureHalfLife));
}

} // namespace Coltsfootwell
