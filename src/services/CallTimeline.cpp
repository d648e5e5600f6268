#include "services/CallTimeline.h"

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

std::string microsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

std::string loadText(const std::optional<LoadReport> &load)
{
    if (!load) {
        return "";
    }
    return "(" + std::to_string(load->inUse) + "+" + std::to_string(load->waiting) + "/"
        + std::to_string(load->limit) + ",slow=" + std::to_string(load->slownessPercent) + ")";
}

} // namespace

std::string_view causeName(AttemptCause cause)
{
    constexpr std::array<std::string_view, 4> Names {"first", "refusal", "failure", "hedge"};
    return Names[static_cast<std::size_t>(cause)];
}

void CallTimeline::begin(const CallAttributes &facts, ConfigurationVersion version, TimePoint now)
{
    m_received = facts.received;
    m_facts = "service=" + facts.service + " idempotent=" + (facts.idempotent ? "yes" : "no")
        + " nested=" + (facts.nested ? "yes" : "no") + " priority=" + std::to_string(facts.priority)
        + " objectiveUs=" + microsText(facts.objective - now) + " deadlineUs="
        + microsText(facts.deadline - now) + " configuration=" + std::to_string(version);
}

void CallTimeline::sent(const SendAttempt &action, TimePoint now)
{
    const std::size_t number = numberOf(action.attempt);
    m_steps += at(now) + "send" + std::to_string(number) + ":"
        + std::string(causeName(action.cause)) + "->" + action.placed.target.daemon.name
        + ",expectUs=" + microsText(action.placed.expected);
}

void CallTimeline::ended(const AttemptId &attempt, const AttemptResult &result, TimePoint now)
{
    m_steps += at(now) + "end" + std::to_string(numberOf(attempt)) + ":";
    if (const auto *answered = std::get_if<AttemptAnswered>(&result)) {
        m_steps += std::to_string(answered->status) + loadText(answered->load);
    } else if (const auto *refused = std::get_if<AttemptRefused>(&result)) {
        m_steps += "refused-" + std::string(reasonName(refused->reason)) + loadText(refused->load);
    } else {
        m_steps += "lost";
    }
}

std::string CallTimeline::text(std::string_view outcome, TimePoint now) const
{
    return "outcome=" + std::string(outcome) + " elapsedUs=" + microsText(now - m_received) + " "
        + m_facts + " steps=" + (m_steps.empty() ? "none" : m_steps.substr(1));
}

std::string CallTimeline::at(TimePoint now) const
{
    return ";" + microsText(now - m_received) + ":";
}

std::size_t CallTimeline::numberOf(const AttemptId &attempt)
{
    const auto it = std::ranges::find(m_attempts, attempt);
    if (it != m_attempts.end()) {
        return static_cast<std::size_t>(it - m_attempts.begin());
    }
    m_attempts.push_back(attempt);
    return m_attempts.size() - 1;
}

} // namespace Coltsfootwell
