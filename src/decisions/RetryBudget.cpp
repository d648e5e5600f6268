#include "decisions/RetryBudget.h"

#include <algorithm>

namespace Coltsfootwell {

void RetryBudget::recordFirstAttempt(std::string_view service, TimePoint now)
{
    add(window(service, now), 1, 0);
}

void RetryBudget::recordCallOfRepeatedRun(std::string_view service, TimePoint now)
{
    add(window(service, now), 0, 1);
}

bool RetryBudget::tryAcquire(std::string_view service, TimePoint now)
{
    Window &own = window(service, now);
    const double allowed = m_limits.ratio * RatioUsed * own.total.firsts
        + m_limits.slack * SlackUsed / static_cast<double>(m_daemons);
    // A part of a repeat is allowed with that probability, so that all daemons together spend what
    // they hold together.
    const double part = std::clamp(allowed - own.total.repeats, 0.0, 1.0);
    add(own, 0, part);
    return part >= 1 || m_random.uniform() < part;
}

RetryBudget::Window &RetryBudget::window(std::string_view service, TimePoint now)
{
    const Duration length = Duration(m_limits.window) / static_cast<Duration::rep>(SlotsPerWindow);
    const std::int64_t current
        = now.time_since_epoch() / std::max(length, Duration(std::chrono::milliseconds(1)));
    const auto [it, added] = m_windows.try_emplace(std::string(service));
    Window &own = it->second;
    if (added || current < own.current
        || current - own.current >= static_cast<std::int64_t>(Slots)) {
        own = Window();
        own.current = current;
    }
    while (own.current < current) {
        ++own.current;
        Counts &oldest = own.slots[static_cast<std::size_t>(own.current) % Slots];
        own.total.firsts -= oldest.firsts;
        own.total.repeats -= oldest.repeats;
        oldest = Counts();
    }
    return own;
}

void RetryBudget::add(Window &window, double firsts, double repeats)
{
    Counts &slot = window.slots[static_cast<std::size_t>(window.current) % Slots];
    slot.firsts += firsts;
    slot.repeats += repeats;
    window.total.firsts += firsts;
    window.total.repeats += repeats;
}

} // namespace Coltsfootwell
