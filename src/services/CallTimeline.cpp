#include "services/CallTimeline.h"

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

std::string formatMicros(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

std::string formatLoad(const std::optional<LoadReport> &load)
{
    if (!load) {
        return "";
    }
    return '(' + std::to_string(load->inUse) + "+" + std::to_string(load->waiting) + "/"
        + std::to_string(load->limit) + ",slow=" + std::to_string(load->slownessPercent) + ")";
}

} // namespace

std::string_view causeName(AttemptCause cause)
{
    constexpr std::array<std::string_view, 4> Names {"first", "refusal", "failure", "hedge"};
    return Names[static_cast<std::size_t>(cause)];
}

void CallTimeline::start(const CallAttributes &attributes, ConfigurationVersion version,
                         TimePoint now)
{
    m_received = attributes.received;
    m_attributes = "service=" + attributes.service + " idempotent="
        + (attributes.idempotent ? "yes" : "no") + " nested=" + (attributes.nested ? "yes" : "no")
        + " priority=" + std::to_string(attributes.priority)
        + " objectiveUs=" + formatMicros(attributes.objective - now) + " deadlineUs="
        + formatMicros(attributes.deadline - now) + " configuration=" + std::to_string(version);
}

void CallTimeline::attemptSent(const SendAttempt &action, TimePoint now)
{
    const std::size_t number = indexOf(action.attempt);
    m_steps += timestamp(now) + "send" + std::to_string(number) + ":"
        + std::string(causeName(action.cause)) + "->" + action.placed.target.daemon.name
        + ",expectUs=" + formatMicros(action.placed.expected);
}

void CallTimeline::attemptWithheld(const AttemptWithheld &action, TimePoint now)
{
    m_steps += timestamp(now) + "withheld:" + std::string(causeName(action.cause)) + ","
        + std::string(reasonName(action.reason));
}

void CallTimeline::attemptEnded(const AttemptId &attempt, const AttemptResult &result,
                                TimePoint now)
{
    m_steps += timestamp(now) + "end" + std::to_string(indexOf(attempt)) + ":";
    if (const auto *answered = std::get_if<AttemptAnswered>(&result)) {
        m_steps += std::to_string(answered->status) + formatLoad(answered->load);
    } else if (const auto *refused = std::get_if<AttemptRefused>(&result)) {
        m_steps
            += "refused-" + std::string(reasonName(refused->reason)) + formatLoad(refused->load);
    } else {
        m_steps += "lost";
    }
}

std::string CallTimeline::logFields(std::string_view outcome, TimePoint now) const
{
    return "outcome=" + std::string(outcome) + " elapsedUs=" + formatMicros(now - m_received) + " "
        + m_attributes + " steps=" + (m_steps.empty() ? "none" : m_steps.substr(1));
}

std::string CallTimeline::timestamp(TimePoint now) const
{
    return ';' + formatMicros(now - m_received) + ":";
}

std::size_t CallTimeline::indexOf(const AttemptId &attempt)
{
    const auto it = std::ranges::find(m_attempts, attempt);
    if (it != m_attempts.end()) {
        return static_cast<std::size_t>(it - m_attempts.begin());
    }
    m_attempts.push_back(attempt);
    return m_attempts.size() - 1;
}

} // namespace Coltsfootwell
