// The history of one call on its entry daemon, for the log.
#pragma once

#include "decisions/CallFlow.h"
#include "services/CallMessages.h"

#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param cause why an attempt was made.
/// \return its name in the log and in metrics.
std::string_view causeName(AttemptCause cause);

/// \brief Collects what was decided and why, with the time since the call was received.
class CallTimeline
{
public:
    /// \param facts of the call.
    /// \param version configuration in force.
    void begin(const CallAttributes &facts, ConfigurationVersion version, TimePoint now);

    /// \brief An attempt was sent.
    void sent(const SendAttempt &action, TimePoint now);

    /// \brief An attempt has ended.
    void ended(const AttemptId &attempt, const AttemptResult &result, TimePoint now);

    /// \param outcome what the caller was told.
    /// \return the fields of the log line.
    std::string text(std::string_view outcome, TimePoint now) const;

private:
    std::string at(TimePoint now) const;
    std::size_t numberOf(const AttemptId &attempt);

    TimePoint m_received {};
    std::string m_facts;
    std::string m_steps;
    std::vector<AttemptId> m_attempts;
};

} // namespace Coltsfootwell
