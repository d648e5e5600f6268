// Timeline of one call on its entry daemon, for the log line "call.ended".
#pragma once

#include "decisions/CallFlow.h"
#include "services/CallMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \return the name of an attempt's cause in log lines and metrics.
std::string_view causeName(AttemptCause cause);

/// \brief Records the attempts of a call with their causes, results and the time since the call was
/// received.
class CallTimeline
{
public:
    /// \param attributes attributes of the call.
    /// \param version version of the active configuration.
    void start(const CallAttributes &attributes, ConfigurationVersion version, TimePoint now);

    /// \brief Records that an attempt was sent.
    void attemptSent(const SendAttempt &action, TimePoint now);

    /// \brief Records that an attempt was not made, and why.
    void attemptWithheld(const AttemptWithheld &action, TimePoint now);

    /// \brief Records the result of an attempt.
    void attemptEnded(const AttemptId &attempt, const AttemptResult &result, TimePoint now);

    /// \param outcome outcome that was reported to the caller.
    /// \return the fields of the log line.
    std::string logFields(std::string_view outcome, TimePoint now) const;

private:
    /// \return the time since the call was received, as the prefix of a step: ";<microseconds>:".
    std::string timestamp(TimePoint now) const;
    /// \return the number of an attempt within the call, which is assigned on first use.
    std::size_t indexOf(const AttemptId &attempt);

    TimePoint m_received {};
    /// Log fields of the call's attributes.
    std::string m_attributes;
    /// Steps so far, each with its timestamp.
    std::string m_steps;
    std::vector<AttemptId> m_attempts;
};

} // namespace Coltsfootwell
